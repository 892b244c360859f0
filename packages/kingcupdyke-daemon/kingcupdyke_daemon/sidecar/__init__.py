"""
kingcupdyke_daemon.sidecar
~~~~~~~~~~~~~~~~~~~~~~~~~~

The sidecar, the process that receives all requests and orders for an endpoint.
"""
