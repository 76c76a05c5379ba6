#!/bin/sh
# The stand-ins need the standard library only; compile them to show that they are whole.
cd "$(dirname "$0")" && python3 - <<'PY'
import glob, sys
for name in ['harness.py', *sorted(glob.glob('[1-5]/*.py'))]:
    compile(open(name).read(), name, 'exec')
PY
