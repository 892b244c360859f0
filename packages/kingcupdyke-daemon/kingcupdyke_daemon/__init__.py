"""
kingcupdyke_daemon
~~~~~~~~~~~~~~~~~~

The gateway and sidecar daemons, which run the core with sockets, timers and metrics.
"""
