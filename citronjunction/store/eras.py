"""Eras of the store: their number rises each time a copy replaces the store.

A restored store may lack what it has acknowledged, and it gives out revisions
again, so revisions can only be compared within an era.
"""

from collections import abc

from absl import logging

from citronjunction.transport import timer_queue

UNKNOWN = 0  # no answer of the store has named an era


class Eras:
    """Track the latest era that the store or a peer has named.

    ``seen_at`` is when that era was first seen, on the boot clock.
    """

    __slots__ = ('current', 'listeners', 'seen_at', 'timers')

    def __init__(self, timers: timer_queue.TimerQueue) -> None:
        self.timers = timers
        self.current = UNKNOWN
        self.seen_at: float = 0
        self.listeners: list[abc.Callable[[], None]] = []

    def subscribe(self, on_begin: abc.Callable[[], None]) -> None:
        """Call ``on_begin`` for each era that begins, also for the first."""
        self.listeners.append(on_begin)

    def observe(self, era: int) -> bool:
        """Record an era; return whether it is the latest one."""
        if era > self.current:
            self.current = era
            self.seen_at = self.timers.boot_time()
            for on_begin in self.listeners:
                _notify(on_begin)
        return era == self.current


def _notify(on_begin: abc.Callable[[], None]) -> None:
    """Call a subscriber; its error must not cost the others the era."""
    try:
        on_begin()
    except Exception as error:
        logging.exception('era not applied: %r', error)
