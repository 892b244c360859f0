"""
kingcupdyke_standins.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts a stand-in with ``python -m kingcupdyke_standins``.
"""

from kingcupdyke_standins.cmdline import main

main()
