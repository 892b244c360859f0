"""
kingcupdyke_daemon
~~~~~~~~~~~~~~~~~~

The gateway and sidecar daemons: sockets, timers and metrics round the core.
"""
