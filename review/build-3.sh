#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 compile; they need nothing
# beside the standard library of Python 3.11.
cd "$(dirname "$0")" || exit 2
for file in standins_3_*.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
