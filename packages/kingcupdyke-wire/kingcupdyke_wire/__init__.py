"""
kingcupdyke_wire
~~~~~~~~~~~~~~~~

Messages and clients between the processes of the system and the platform.
"""
