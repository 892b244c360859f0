#!/bin/sh
# The stand-ins are the modules beside this file. They use Python's standard library only and need
# no build; this checks that they compile.
set -eu
python3 -m py_compile "$(dirname "$0")"/*.py
