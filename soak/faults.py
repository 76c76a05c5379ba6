"""Faults of a run, drawn from its seed, and how they are done."""

import dataclasses
import functools
import random
import signal
from collections import abc

from soak import links, system
from tests.support import platform_system

FIRST_S = 1.0  # calm before the first fault
GAP_S = 0.9  # mean time between faults; they overlap
ENDING_S = 0.2  # between looks at a process that was told to end
LONGEST_S = 4.0  # of a fault
MODES = (
    links.Mode.slow,
    links.Mode.silent,
    links.Mode.one_way,
    links.Mode.reset,
)
ON_ENTRIES = ('kill', 'stop', 'pause', 'reload', 'store link')
ON_WORKERS = ('worker link', 'worker crash', 'worker leaves')
ON_PLATFORM = ('store down', 'store compacts', 'answers lost', 'configuration')


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Describe a fault; times are seconds from the start of traffic."""

    at: float
    kind: str
    target: int
    mode: links.Mode
    for_s: float

    def __str__(self) -> str:
        """Return a line of the timeline."""
        return (
            f'{self.at:6.2f} s {self.kind} of {self.target} ({self.mode.value})'
            f' for {self.for_s:.2f} s'
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """Say when the entry at an address was stopped; monotonic seconds."""

    address: str
    began_at: float
    ended_at: float


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run."""
    source = random.Random(seed)
    faults = []
    at = FIRST_S
    kinds = (*ON_ENTRIES, *ON_WORKERS, *ON_PLATFORM)
    while at < seconds:
        faults.append(
            Fault(
                at,
                source.choice(kinds),
                source.randrange(1000),
                source.choice(MODES),
                source.uniform(0.2, LONGEST_S),
            ),
        )
        at += source.expovariate(1 / GAP_S)
    return faults


class Injector:
    """Do faults and heal them."""

    def __init__(self, held: system.System) -> None:
        """Take the system to harm."""
        self.system = held
        self.is_over = False
        self.versions = 1
        self.pauses: list[Pause] = []

    def schedule(self, faults: list[Fault]) -> None:
        """Do each fault at its time."""
        for fault in faults:
            self.system.loop.timers.call_later(
                fault.at,
                functools.partial(self.do, fault),
            )

    def do(self, fault: Fault) -> None:
        """Do a fault now; it heals after its time."""
        if self.is_over:
            return
        if fault.kind in ON_ENTRIES:
            self._harm_entry(fault)
        elif fault.kind in ON_WORKERS:
            self._harm_worker(fault)
        else:
            self._harm_platform(fault)

    def heal_all(self) -> None:
        """End every fault and start what does not run."""
        self.is_over = True
        store = self.system.store
        store.is_down = False
        store.lost_answers = 0
        for link in self.system.worker_links.values():
            link.harm(links.Mode.whole)
        for entry in self.system.entries.values():
            entry.store.harm(links.Mode.whole)
            entry.send(signal.SIGCONT)
            self._ensure_running(entry)

    def _harm_entry(self, fault: Fault) -> None:
        entries = list(self.system.entries.values())
        entry = entries[fault.target % len(entries)]
        match fault.kind:
            case 'kill':
                entry.send(signal.SIGKILL)
                self._later(fault, lambda: self._ensure_running(entry))
            case 'stop':
                entry.send(signal.SIGTERM)
                self._later(fault, lambda: self._ensure_running(entry))
            case 'pause':
                entry.send(signal.SIGSTOP)
                now = self.system.loop.timers.now()
                front = entry.ports['front']
                self.pauses.append(Pause(front, now, now + fault.for_s))
                self._later(fault, lambda: entry.send(signal.SIGCONT))
            case 'reload':
                entry.send(signal.SIGHUP)
            case 'store link':
                self._harm_link(fault, entry.store)

    def _harm_worker(self, fault: Fault) -> None:
        names = sorted(self.system.workers)
        name = names[fault.target % len(names)]
        service = name.partition('-')[0]
        match fault.kind:
            case 'worker link':
                self._harm_link(fault, self.system.worker_links[name])
            case 'worker crash':
                link = self.system.worker_links[name]
                link.harm(links.Mode.reset)
                self._later(fault, lambda: link.harm(links.Mode.whole))
            case 'worker leaves':
                self.system.register(name, service, 'draining')
                added = f'{service}-{len(self.system.worker_links)}'
                self.system.add_worker(added, service)
                self._later(fault, lambda: self._retire(name))

    def _harm_platform(self, fault: Fault) -> None:
        store = self.system.store
        match fault.kind:
            case 'store down':
                store.is_down = True
                self._later(fault, self._raise_store)
            case 'store compacts':
                store.compact()
            case 'answers lost':
                store.lost_answers = 2
            case 'configuration':
                self._change_configuration()

    def _change_configuration(self) -> None:
        self.versions += 1
        route = platform_system.make_route(
            'added',
            f'/added-{self.versions}/',
            'safe',
            'app',
        )
        routes = [
            held
            for held in self.system.configuration['routes']
            if held['name'] != 'added'
        ]
        self.system.configure(routes=[*routes, route])

    def _harm_link(self, fault: Fault, link: links.Link) -> None:
        link.harm(fault.mode)
        self._later(fault, lambda: link.harm(links.Mode.whole))

    def _later(self, fault: Fault, heal: abc.Callable[[], None]) -> None:
        self.system.loop.timers.call_later(fault.for_s, heal)

    def _raise_store(self) -> None:
        self.system.store.is_down = False

    def _retire(self, name: str) -> None:
        if name in self.system.workers:
            self.system.retire(name)

    def _ensure_running(self, entry: system.Entry) -> None:
        if not entry.is_running():
            entry.start()
        elif entry.is_ended:
            # It was told to end and still finishes its requests.
            self.system.loop.timers.call_later(
                ENDING_S,
                lambda: self._ensure_running(entry),
            )
