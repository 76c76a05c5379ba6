"""Reload signals that arrive before the event loop can handle them.

The import of this module begins to record them: a process that is still busy
with its other imports would be ended by the signal.
"""

import signal
import threading
from collections import abc

received: list[int] = []


def pass_on(on_reload: abc.Callable[[], None]) -> None:
    """Call ``on_reload`` once if signals were recorded, and forget them."""
    if received:
        received.clear()
        on_reload()


def _record(number: int, _: object) -> None:
    received.append(number)


if threading.current_thread() is threading.main_thread():
    signal.signal(signal.SIGHUP, _record)
