#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need the standard library alone, so it
# checks the version of Python and compiles them.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 -m compileall -q review/support2 review/6 review/7 review/8 review/9 review/10
