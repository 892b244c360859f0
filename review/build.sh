#!/bin/sh
# The stand-ins of the scripts are in review/standins; they use Python's standard library only.
set -eu
python3 -m py_compile "$(dirname "$0")"/standins/*.py
