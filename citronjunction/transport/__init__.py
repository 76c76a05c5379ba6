"""Event loop, timers, sockets, HTTP server and client, and peer links."""

import importlib
import sys

# circuits imports pkg_resources only to declare a namespace package, which
# nothing here uses. Blocking the import saves 0.1 s at the start of a process.
SLOW_IMPORT = 'pkg_resources'
if SLOW_IMPORT not in sys.modules:
    sys.modules[SLOW_IMPORT] = None
    importlib.import_module('circuits')
    sys.modules.pop(SLOW_IMPORT)
