"""
kingcupdyke_daemon.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~

The gateway: callers on one side, sidecars on the other.
"""
