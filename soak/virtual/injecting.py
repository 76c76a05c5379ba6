"""Injection of faults into a run, and the record of what workers saw."""

import functools
from collections import abc

from citronjunction.transport import http_server
from soak.virtual import (
    callers,
    drawing,
    history,
    outages,
    tenancy,
    writing,
)
from tests.support import platform_system, platform_worker

SERVICE_S = 0.1  # of a plain request
EVENTS = 8  # of a stream
RESTART_S = 1.0
REPLACED_SHARE = 0.25  # of a fault's duration until the replacement starts
FROZEN_SHARE = 0.5  # of a fault's duration
MAX_PAUSE_S = 3.0
SILENCE_S = 1.2  # of a sound worker
LEAVES_AFTER_S = 6.0
SLOTS = 6
REFUSALS = 5
BURST_FACTOR = 3.0
RATES_PER_S = (0.5, 1.0, 2.0, 5.0)
REFUSALS_PER_S = (1, 2, 4)


class Injector:
    """Inject faults and record when they excuse entries."""

    def __init__(
        self,
        deployed: platform_system.PlatformSystem,
        record: history.History,
        traffic: callers.Traffic,
    ) -> None:
        self.deployed = deployed
        self.record = record
        self.traffic = traffic
        self.world = deployed.world
        self.worker_count = 0
        self.outages = outages.Outages(deployed, record)
        self.store_trouble = outages.StoreTrouble(deployed, record)
        self.changes = writing.StoreChanges(self)
        for worker in deployed.workers.values():
            self._observe(worker)

    def inject(self, fault: drawing.Fault) -> None:
        """Begin a fault, and schedule its end."""
        kinds = drawing.Kind
        begin = {
            kinds.worker_limit: self._name_limit,
            kinds.brittle: self._make_brittle,
            kinds.cut_silently: self._cut_from_workers,
            kinds.cut_refused: self._cut_from_workers,
            kinds.peers_cut: self._cut_entry,
            kinds.store_cut: self._cut_entry,
            kinds.entry_killed: self._stop_entry,
            kinds.entry_paused: self._stop_entry,
            kinds.burst: self._begin_burst,
            kinds.configuration: self._configure,
            kinds.hot: self._begin_hot,
            kinds.quota: self._change_quota,
            kinds.entries_replaced: self._replace_entries,
            kinds.holder_replaced: self._replace_holder,
            kinds.all_killed: self._kill_all,
            kinds.entries_frozen: self._freeze_entries,
            kinds.entry_stopped: self._terminate_entry,
            kinds.store_down: self.store_trouble.begin,
            kinds.store_slow: self.store_trouble.begin,
            kinds.store_loses: self.store_trouble.begin,
            **dict.fromkeys(drawing.THIRD_KINDS, self.changes.begin),
        }.get(fault.kind, self._harm_worker)
        begin(fault)

    def finish(self) -> None:
        """Add the runs and falls of workers and the calls to the cloud."""
        cloud = self.deployed.cloud
        self.record.calls.extend(
            history.Call(('usage',), *sender) for sender, _ in cloud.usage
        )
        self.record.calls.extend(
            history.Call(('order', order['service'], order['zone']), *sender)
            for sender, order in cloud.orders
        )
        for worker in self.deployed.workers.values():
            self.record.falls.extend((worker.name, at) for at in worker.fell_at)
            self.record.runs.extend(
                history.Arrival(run.headers['attempt-id'], worker.name, '', 0)
                for run in worker.runs
            )

    def _harm_worker(self, fault: drawing.Fault) -> None:
        name = self.choose_worker(fault)
        behaviour = self.deployed.workers[name].behaviour
        match fault.kind:
            case drawing.Kind.worker_killed:
                self.replace_worker(name)
            case drawing.Kind.worker_leaves:
                behaviour.is_leaving = True
                self.deployed.caller_host.timers.call_later(
                    LEAVES_AFTER_S,
                    functools.partial(self.replace_worker, name),
                )
            case drawing.Kind.worker_silent:
                self.deployed.worker_hosts[name].pause(SILENCE_S)
            case drawing.Kind.worker_refuses:
                behaviour.refusals_left = REFUSALS
            case drawing.Kind.worker_fails:
                behaviour.failures_left = REFUSALS
            case drawing.Kind.worker_loses:
                behaviour.aborts_left = REFUSALS

    def _name_limit(self, fault: drawing.Fault) -> None:
        name = self.choose_worker(fault)
        behaviour = self.deployed.workers[name].behaviour
        if behaviour.limit:
            return
        rate = RATES_PER_S[fault.target % len(RATES_PER_S)]
        behaviour.limit = str(rate)
        self.record.limits.append((rate, self._span((name,), fault)))
        self._later(fault, lambda: setattr(behaviour, 'limit', ''))

    def _make_brittle(self, fault: drawing.Fault) -> None:
        upstream = ('app', 'llm')[fault.target % 2]
        names = [
            name for name in self._list_workers() if name.startswith(upstream)
        ]
        chosen = [self.deployed.workers[name].behaviour for name in names]
        if any(behaviour.brittle for behaviour in chosen):
            return
        refusals = REFUSALS_PER_S[fault.target % len(REFUSALS_PER_S)]
        for behaviour in chosen:
            behaviour.brittle = str(refusals)
            behaviour.slots = SLOTS
        self.record.brittle.append(self._span(names, fault))
        self._later(fault, functools.partial(_make_sound, chosen))

    def _cut_from_workers(self, fault: drawing.Fault) -> None:
        entries = self.choose_entries(fault)
        workers = tuple(self.deployed.workers)
        cut = self.world.partition
        if fault.kind is drawing.Kind.cut_refused:
            cut = self.world.refuse
        cut(entries, workers)
        self.record.cuts.append(self._span(entries, fault))
        self._later(fault, functools.partial(self._heal, entries, workers))

    def _cut_entry(self, fault: drawing.Fault) -> None:
        entries = self.choose_entries(fault)
        others = [
            name for name in self.deployed.gateways if name not in entries
        ]
        if fault.kind is drawing.Kind.store_cut:
            others = [self.deployed.platform_host.name]
        self.world.partition(entries, others)
        self.record.disturbances.append(self._span(entries, fault))
        self._later(fault, functools.partial(self._heal, entries, others))

    def _stop_entry(self, fault: drawing.Fault) -> None:
        name = self.choose_entries(fault)[0]
        host = self.deployed.gateway_hosts[name]
        if not host.is_alive:
            return
        if fault.kind is drawing.Kind.entry_paused:
            seconds = min(fault.duration_s, MAX_PAUSE_S)
            host.pause(seconds)
            self.disturb(name, seconds)
            return
        self.outages.kill(name, RESTART_S)

    def _replace_entries(self, fault: drawing.Fault) -> None:
        for name in self.choose_entries(fault):
            self.outages.replace(name, fault.duration_s * REPLACED_SHARE)

    def _replace_holder(self, fault: drawing.Fault) -> None:
        for name in self.outages.list_holders():
            self.outages.replace(name, fault.duration_s * REPLACED_SHARE)

    def _kill_all(self, fault: drawing.Fault) -> None:
        for name in sorted(self.deployed.gateways):
            self.outages.kill(name, RESTART_S)
        self.record.all_ended_at.append(self.world.now)

    def _freeze_entries(self, fault: drawing.Fault) -> None:
        seconds = fault.duration_s * FROZEN_SHARE
        for name in self.choose_entries(fault):
            self.outages.freeze(name, seconds)

    def _terminate_entry(self, fault: drawing.Fault) -> None:
        self.outages.terminate(self.choose_entries(fault)[0], RESTART_S)

    def _begin_hot(self, fault: drawing.Fault) -> None:
        demand = self.traffic.demand
        demand.begin_hot(
            tenancy.choose_organisation(fault.amount),
            tenancy.choose_factor(fault.target),
        )
        self._later(fault, demand.end_hot)

    def _change_quota(self, fault: drawing.Fault) -> None:
        levels = self.traffic.demand.levels
        name = tenancy.choose_organisation(fault.amount)
        levels.change(name, tenancy.choose_level(fault.target))
        self._later(fault, functools.partial(levels.change, name, 1.0))

    def replace_worker(self, name: str) -> None:
        """End a worker and start another one."""
        host = self.deployed.worker_hosts[name]
        if not host.is_alive:
            return
        host.kill()
        self.deployed.store.remove('servers', name)
        self.worker_count += 1
        upstream = name.partition('-')[0]
        worker = self.deployed.add_worker(
            f'{upstream}-new-{self.worker_count}', upstream
        )
        prepare(worker)
        self._observe(worker)

    def choose_worker(self, fault: drawing.Fault) -> str:
        """Return the running worker that a fault selects."""
        names = self._list_workers()
        return names[fault.target % len(names)]

    def _list_workers(self) -> list[str]:
        return [
            name
            for name, host in self.deployed.worker_hosts.items()
            if host.is_alive
        ]

    def choose_entries(self, fault: drawing.Fault) -> list[str]:
        """Return the entries that a fault selects."""
        names = sorted(self.deployed.gateways)
        count = 1 + int(fault.amount * len(names) / 2)
        start = fault.target % len(names)
        return (names * 2)[start : start + count]

    def _heal(
        self, names: abc.Iterable[str], others: abc.Iterable[str]
    ) -> None:
        pairs = {frozenset((a, b)) for a in names for b in others}
        self.world.partitions -= pairs
        self.world.refusals -= pairs

    def _begin_burst(self, fault: drawing.Fault) -> None:
        self.traffic.factor = BURST_FACTOR
        self._later(fault, self._end_burst)

    def _configure(self, fault: drawing.Fault) -> None:
        self.deployed.configure()

    def _end_burst(self) -> None:
        self.traffic.factor = 1.0

    def disturb(self, name: str, seconds: float) -> None:
        """Record that an entry is disturbed for a time."""
        now = self.world.now
        self.record.disturbances.append(
            history.Span(frozenset((name,)), now, now + seconds)
        )

    def _span(
        self, names: abc.Iterable[str], fault: drawing.Fault
    ) -> history.Span:
        now = self.world.now
        return history.Span(frozenset(names), now, now + fault.duration_s)

    def _later(
        self, fault: drawing.Fault, call: abc.Callable[[], None]
    ) -> None:
        self.deployed.caller_host.timers.call_later(fault.duration_s, call)

    def _observe(self, worker: platform_worker.PlatformWorker) -> None:
        partial = functools.partial
        worker.handle = partial(self._record, worker, worker.handle)
        worker._respond = partial(self._notice, worker, worker._respond)
        worker._stream = partial(self._notice, worker, worker._stream)

    def _record(
        self,
        worker: platform_worker.PlatformWorker,
        handle: abc.Callable[..., None],
        exchange: http_server.Exchange,
    ) -> None:
        headers = exchange.request.headers
        name = headers.get('attempt-id')
        run_count = len(worker.runs)
        if name is not None:
            entry = self.get_sender(exchange)
            self.record.arrivals.append(
                history.Arrival(name, worker.name, entry, self.world.now)
            )
        handle(exchange)
        if len(worker.runs) > run_count:
            self.record.uses.append(
                history.Use(
                    name,
                    headers.get('tenant', ''),
                    tenancy.decode_cost(headers.get('token-usage', '')),
                    self.world.now,
                )
            )

    def get_sender(self, exchange: http_server.Exchange) -> str:
        """Return the name of the host that sent a request."""
        address = exchange.connection.connection.peer_address
        return address.rpartition(':')[0]

    def _notice(
        self,
        worker: platform_worker.PlatformWorker,
        respond: abc.Callable[..., None],
        exchange: http_server.Exchange,
        *answer: object,
    ) -> None:
        behaviour = worker.behaviour
        if behaviour.limit or behaviour.is_leaving:
            limit = float(behaviour.limit) if behaviour.limit else None
            self.record.notices.append(
                history.Notice(
                    worker.name,
                    self.get_sender(exchange),
                    self.world.now,
                    limit,
                    behaviour.is_leaving,
                )
            )
        respond(exchange, *answer)


def prepare(worker: platform_worker.PlatformWorker) -> None:
    """Set how a worker serves while nothing harms it."""
    worker.behaviour.service_time_s = SERVICE_S
    worker.behaviour.event_count = EVENTS


def _make_sound(
    behaviours: abc.Iterable[platform_worker.Behaviour],
) -> None:
    for behaviour in behaviours:
        behaviour.brittle = ''
        behaviour.slots = 0
