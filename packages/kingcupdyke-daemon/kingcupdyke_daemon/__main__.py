"""
kingcupdyke_daemon.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~

``python -m kingcupdyke_daemon``.
"""

import sys

from kingcupdyke_daemon.cmdline import main

if __name__ == "__main__":
    sys.exit(main())
