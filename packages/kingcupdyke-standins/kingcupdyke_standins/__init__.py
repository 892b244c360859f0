"""
kingcupdyke_standins
~~~~~~~~~~~~~~~~~~~~

Stand-ins for the platform, engines, services and links, for tests and the demo.
"""
