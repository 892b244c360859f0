"""
kingcupdyke_daemon.sidecar
~~~~~~~~~~~~~~~~~~~~~~~~~~

The sidecar: the one process before an endpoint.
"""
