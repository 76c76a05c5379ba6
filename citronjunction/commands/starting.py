"""Start of citron-gateway where callers wait for it.

The garbage collector is paused while modules are imported: it would walk all
objects again and again, and nothing of them is garbage.
"""

import gc
import importlib

MODULE = 'citronjunction.commands.gateway'


def load() -> object:
    """Import the program and exempt its objects from collection."""
    gc.disable()
    program = importlib.import_module(MODULE)
    gc.enable()
    gc.freeze()
    return program


def main() -> None:
    """Run the command."""
    load().main()


if __name__ == '__main__':
    main()
