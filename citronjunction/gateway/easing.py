"""Reports to entries of older builds, which know no limits of workers.

They send most to the workers that have the fewest requests, so to them a
limited worker is reported as full. Then they use it last.
"""

import dataclasses

from citronjunction.gateway import fleet
from citronjunction.membership import dialects, facts

NO_LOAD = (0,)


class Easing:
    """Change an entry's reports for peers that know no limits."""

    __slots__ = ('fleet', 'own_name')

    def __init__(self, workers: fleet.Fleet, own_name: str) -> None:
        self.fleet = workers
        self.own_name = own_name

    def adapt(self, fact: facts.Fact, dialect: dialects.Dialect) -> facts.Fact:
        """Return a fact as it is sent to a peer that reads a dialect."""
        match fact:
            case facts.LoadState(name=name, running=running) if (
                name == self.own_name and not dialect.reads(facts.LIMITED_SENDS)
            ):
                full = self._fill(running)
                return dataclasses.replace(fact, running=full)
        return fact

    def _fill(
        self, running: dict[str, tuple[int, ...]]
    ) -> dict[str, tuple[int, ...]]:
        filled = dict(running)
        for name, worker in self.fleet.workers.items():
            registration = worker.registration
            if self.fleet.limits.is_limited(registration.start_key):
                count, *tokens = running.get(name, NO_LOAD)
                filled[name] = (count + registration.slots, *tokens)
        return filled
