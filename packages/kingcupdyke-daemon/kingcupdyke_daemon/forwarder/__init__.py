"""
kingcupdyke_daemon.forwarder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A gateway that forwards HTTP requests straight to endpoints, with no sidecar between.
"""
