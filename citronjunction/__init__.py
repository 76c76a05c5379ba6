"""Serving system for model-backed applications on reclaimable hosts."""

import importlib
import sys

# circuits asks setuptools to declare a namespace that it does not need;
# without the import each process starts a tenth of a second sooner.
SLOW_IMPORT = 'pkg_resources'
if SLOW_IMPORT not in sys.modules:
    sys.modules[SLOW_IMPORT] = None
    importlib.import_module('circuits')
    sys.modules.pop(SLOW_IMPORT)

VERSION = '0.2.0'
