"""
kingcupdyke.forwarding
~~~~~~~~~~~~~~~~~~~~~~

Decisions of a gateway that forwards HTTP requests straight to endpoints.
"""
