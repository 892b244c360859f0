"""
kingcupdyke_tool.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~

Runs the tool with ``python -m kingcupdyke_tool``.
"""

import sys

from kingcupdyke_tool.cmdline import main

sys.exit(main())
