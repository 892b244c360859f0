"""
kingcupdyke_daemon.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~

The gateway, which forwards requests of callers to the sidecars of endpoints.
"""
