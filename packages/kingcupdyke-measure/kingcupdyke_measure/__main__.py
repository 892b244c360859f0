"""
kingcupdyke_measure.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts a measurement with ``python -m kingcupdyke_measure``.
"""

from kingcupdyke_measure.cmdline import main

main()
