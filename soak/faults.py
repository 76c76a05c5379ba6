"""Random faults of a run, drawn from its seed, and their injection."""

import dataclasses
import functools
import random
import signal
from collections import abc

from soak import links, system
from tests.support import platform_system

FIRST_FAULT_S = 1.0  # after the start of traffic
MEAN_GAP_S = 0.9  # shorter than most faults, which therefore overlap
EXIT_POLL_S = 0.2  # between checks whether a process has exited
MAX_DURATION_S = 4.0  # longest fault
MODES = (
    links.Mode.slow,
    links.Mode.silent,
    links.Mode.one_way,
    links.Mode.reset,
)
ENTRY_FAULTS = ('kill', 'stop', 'pause', 'reload', 'store link')
WORKER_FAULTS = ('worker link', 'worker crash', 'worker leaves')
PLATFORM_FAULTS = (
    'store down',
    'store compacts',
    'answers lost',
    'configuration',
)
# Drawn apart from the other faults, whose seeds keep their faults.
RESTORE_SHARE = 0.5  # of the seeds; their store is restored once
WRITTEN_AGAIN_S = 0.4  # until the operator and the workers have written again
OUTSIDE_KINDS = frozenset(('config', 'rollouts', 'servers'))


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Describe a fault; ``starts_at`` is in seconds after the start of traffic.

    ``target`` selects an entry or worker modulo their number; ``mode`` applies
    to faults of links only.
    """

    starts_at: float
    kind: str
    target: int
    mode: links.Mode
    duration_s: float

    def __str__(self) -> str:
        """Return the fault's line in the timeline of a report."""
        return (
            f'{self.starts_at:6.2f} s {self.kind} of {self.target}'
            f' ({self.mode.value}) for {self.duration_s:.2f} s'
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """Describe when SIGSTOP paused an entry; times are monotonic seconds."""

    address: str
    started_at: float
    ended_at: float


def draw_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run; they follow from the seed alone."""
    source = random.Random(seed)
    faults = []
    starts_at = FIRST_FAULT_S
    kinds = (*ENTRY_FAULTS, *WORKER_FAULTS, *PLATFORM_FAULTS)
    while starts_at < seconds:
        faults.append(
            Fault(
                starts_at,
                source.choice(kinds),
                source.randrange(1000),
                source.choice(MODES),
                source.uniform(0.2, MAX_DURATION_S),
            ),
        )
        starts_at += source.expovariate(1 / MEAN_GAP_S)
    return faults + draw_restores(seed, seconds)


def draw_restores(seed: int, seconds: float) -> list[Fault]:
    """Return the restore of the store of a run, if it has one."""
    source = random.Random(f'restore {seed}')
    if source.random() >= RESTORE_SHARE:
        return []
    return [
        Fault(
            source.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, seconds)),
            'store restored',
            0,
            links.Mode.forward,
            source.uniform(0.2, MAX_DURATION_S),
        ),
    ]


class Injector:
    """Inject faults and heal each after its duration."""

    def __init__(self, target: system.System) -> None:
        self.system = target
        self.is_healed = False
        self.added_route_number = 1
        self.pauses: list[Pause] = []

    def schedule(self, faults: list[Fault]) -> None:
        """Schedule the injection of each fault."""
        for fault in faults:
            self.system.loop.timers.call_later(
                fault.starts_at,
                functools.partial(self.inject, fault),
            )

    def inject(self, fault: Fault) -> None:
        """Inject a fault now and schedule its healing."""
        if self.is_healed:
            return
        if fault.kind in ENTRY_FAULTS:
            self._inject_entry_fault(fault)
        elif fault.kind in WORKER_FAULTS:
            self._inject_worker_fault(fault)
        else:
            self._inject_platform_fault(fault)

    def heal_all(self) -> None:
        """End all faults and restart entries that do not run."""
        self.is_healed = True
        store = self.system.store
        store.is_down = False
        store.lost_answers = 0
        for link in self.system.worker_links.values():
            link.set_mode(links.Mode.forward)
        for entry in self.system.entries.values():
            entry.store_link.set_mode(links.Mode.forward)
            entry.send(signal.SIGCONT)
            self._ensure_running(entry)

    def _inject_entry_fault(self, fault: Fault) -> None:
        entries = list(self.system.entries.values())
        entry = entries[fault.target % len(entries)]
        match fault.kind:
            case 'kill':
                entry.send(signal.SIGKILL)
                self._heal_later(fault, lambda: self._ensure_running(entry))
            case 'stop':
                entry.send(signal.SIGTERM)
                self._heal_later(fault, lambda: self._ensure_running(entry))
            case 'pause':
                entry.send(signal.SIGSTOP)
                now = self.system.loop.timers.now()
                front = entry.ports['front']
                self.pauses.append(Pause(front, now, now + fault.duration_s))
                self._heal_later(fault, lambda: entry.send(signal.SIGCONT))
            case 'reload':
                entry.send(signal.SIGHUP)
            case 'store link':
                self._inject_link_fault(fault, entry.store_link)

    def _inject_worker_fault(self, fault: Fault) -> None:
        names = sorted(self.system.workers)
        name = names[fault.target % len(names)]
        service = name.partition('-')[0]
        match fault.kind:
            case 'worker link':
                self._inject_link_fault(fault, self.system.worker_links[name])
            case 'worker crash':
                link = self.system.worker_links[name]
                link.set_mode(links.Mode.reset)
                self._heal_later(
                    fault, lambda: link.set_mode(links.Mode.forward)
                )
            case 'worker leaves':
                self.system.register(name, service, 'draining')
                new_name = f'{service}-{len(self.system.worker_links)}'
                self.system.add_worker(new_name, service)
                self._heal_later(fault, lambda: self._deregister(name))

    def _inject_platform_fault(self, fault: Fault) -> None:
        store = self.system.store
        match fault.kind:
            case 'store down':
                store.is_down = True
                self._heal_later(fault, self._restore_store)
            case 'store compacts':
                store.compact()
            case 'answers lost':
                store.lost_answers = 2
            case 'configuration':
                self._change_configuration()
            case 'store restored':
                copied = store.copy()
                self._heal_later(fault, lambda: self._restore_copy(copied))

    def _restore_copy(self, copied: object) -> None:
        """Restore the store from a copy as old as the fault's duration."""
        store = self.system.store
        outside = {
            key: stored['spec']
            for key, stored in store.objects.items()
            if key[0] in OUTSIDE_KINDS
        }
        store.restore(copied)
        self.system.loop.timers.call_later(
            WRITTEN_AGAIN_S, lambda: self._write_again(outside)
        )

    def _write_again(self, outside: dict[tuple[str, str], object]) -> None:
        store = self.system.store
        for (kind, name), spec in outside.items():
            is_gone = kind == 'servers' and name not in self.system.workers
            stored = store.objects.get((kind, name))
            is_newer = kind == 'config' and (
                stored['spec']['version'] >= spec['version']
            )
            if (
                not is_gone
                and not is_newer
                and (stored is None or stored['spec'] != spec)
            ):
                store.put(kind, name, spec)
        for kind, name in tuple(store.objects):
            if kind == 'servers' and name not in self.system.workers:
                store.remove(kind, name)

    def _change_configuration(self) -> None:
        self.added_route_number += 1
        route = platform_system.make_route(
            'added',
            f'/added-{self.added_route_number}/',
            'safe',
            'app',
        )
        routes = [
            existing
            for existing in self.system.configuration['routes']
            if existing['name'] != 'added'
        ]
        self.system.configure(routes=[*routes, route])

    def _inject_link_fault(self, fault: Fault, link: links.Link) -> None:
        link.set_mode(fault.mode)
        self._heal_later(fault, lambda: link.set_mode(links.Mode.forward))

    def _heal_later(self, fault: Fault, heal: abc.Callable[[], None]) -> None:
        self.system.loop.timers.call_later(fault.duration_s, heal)

    def _restore_store(self) -> None:
        self.system.store.is_down = False

    def _deregister(self, name: str) -> None:
        if name in self.system.workers:
            self.system.deregister(name)

    def _ensure_running(self, entry: system.Entry) -> None:
        if not entry.is_running():
            entry.start()
        elif entry.is_exit_expected:
            # The entry was told to exit and may still finish its requests.
            self.system.loop.timers.call_later(
                EXIT_POLL_S,
                lambda: self._ensure_running(entry),
            )
