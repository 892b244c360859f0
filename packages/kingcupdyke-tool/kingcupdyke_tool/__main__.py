"""
kingcupdyke_tool.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~

Runs the tool as a module.
"""

import sys

from kingcupdyke_tool.cmdline import main

sys.exit(main())
