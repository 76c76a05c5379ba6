"""The work under one lease: status, moves and orders of an owner."""

import dataclasses
import uuid

from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.control import lease_client, workers
from citronjunction.membership import facts
from citronjunction.observability import decisions
from citronjunction.peering import evidence_rows, node
from citronjunction.store import models as store_models
from citronjunction.store import object_api
from citronjunction.releases import evidence, mover, status


class Owner:
    """Step the moves of an upstream or organisation while it is leased."""

    def __init__(
        self,
        settings: conf.Settings,
        peers: node.PeerNode,
        api: object_api.ObjectApi,
        log: decisions.DecisionLog,
        name: str,
    ) -> None:
        """Take the settings, peers, store and the owner's name."""
        self.settings = settings
        self.peers = peers
        self.timers = peers.loop.timers
        self.api = api
        self.log = log
        self.name = name
        control = settings.control
        self.lease_client = lease_client.build_lease_client(
            api, control, peers.own_name, name
        )
        upstream = name.partition('-')[2]
        self.upstream = upstream if name.startswith('upstream-') else ''
        self.workers = workers.Workers(peers.loop.client, upstream)
        self.current: status.Status | None = None
        self.version = ''
        self.epoch = 0
        self.is_busy = False
        self.judge = evidence.Judge(control.significance)
        self.judged = ''
        self.wanted_since = self.timers.now()

    def tick(self, current: configuration.Configuration) -> None:
        """Look after the lease, then do what is due."""
        self.lease_client.tick()
        if not self.lease_client.is_held():
            self.current = None
            return
        if self.epoch != self.lease_client.lease.epoch:
            self.epoch = self.lease_client.lease.epoch
            self.current = None
        if self.is_busy:
            return
        if self.current is None:
            self.is_busy = True
            self.api.read(status.KIND, self.name, self._on_read)
            return
        self.workers.ask_all()
        self._step(current)

    def _on_read(self, result: store_models.ReadResult) -> None:
        self.is_busy = False
        match result:
            case store_models.Stored(stored_object=held):
                self.current = status.decode(held.spec)
                self.version = held.version
            case store_models.Absent():
                self.current = status.Status(self.name)
                self.version = ''

    def _step(self, current: configuration.Configuration) -> None:
        view = self._build_view(current)
        stepped = mover.step(self.current, view)
        if stepped != self.current:
            self._write(stepped)
            return
        if self._may_order(current):
            for order in mover.plan_orders(self.current, view):
                self.workers.send(order, self.epoch)

    def _build_view(self, current: configuration.Configuration) -> mover.View:
        now = self.timers.now()
        live = self.peers.liveness.select_live(now)
        revisions = [held.revision for held in live]
        version = self.current.candidate
        if not version and self.current.previous:
            version = self.current.stable
        return mover.View(
            self.timers.wall_time(),
            current,
            self.workers.get_views(),
            version,
            self._judge(version),
            self._find_withdrawn(),
            min(revisions, default=0),
        )

    def _judge(self, version: str) -> evidence.Judgement:
        key = f'{version} {self.current.release}'
        if self.judged != key:
            self.judged = key
            self.judge = evidence.Judge(self.settings.control.significance)
        rows = evidence_rows.gather_rows(
            self.peers.table,
            self.upstream,
            version,
            self.current.release,
        )
        return self.judge.judge(rows)

    def _find_withdrawn(self) -> dict[str, str]:
        return {
            fact.version: fact.reason
            for fact in self.peers.table.select(facts.WithdrawnVersion)
            if fact.upstream == self.upstream
            and fact.release >= self.current.release
        }

    def _write(self, stepped: status.Status) -> None:
        operation = uuid.uuid4().hex
        written = dataclasses.replace(
            stepped,
            step=self.current.step + 1,
            epoch=self.epoch,
            operation=operation,
        )
        self.is_busy = True
        self.api.write(
            status.KIND,
            self.name,
            status.encode(written),
            self.version,
            lambda result: self._on_written(written, result),
        )

    def _on_written(
        self,
        written: status.Status,
        result: store_models.WriteResult,
    ) -> None:
        self.is_busy = False
        match result:
            case store_models.Stored(stored_object=held):
                self._log_changes(written)
                self.current = written
                self.version = held.version
                self.peers.publish(
                    facts.TrafficState(self.name, written.step, held.spec),
                )
            case store_models.NotWritten():
                return
            case _:
                # The write may have taken effect: read before the next step.
                self.current = None

    def _log_changes(self, written: status.Status) -> None:
        for record in written.moves:
            before = self.current.find(record.name) if self.current else None
            if before != record:
                self.log.write(
                    'move',
                    record.name,
                    state=record.state.value,
                    reason=record.reason,
                    share=written.share,
                    epoch=written.epoch,
                )

    def _may_order(self, current: configuration.Configuration) -> bool:
        if not self.lease_client.is_held():
            return False
        spec = current.upstreams.get(self.upstream)
        if spec is None:
            return False
        lease = self.lease_client.lease
        if spec.checks_fencing or lease.epoch == 1:
            return True
        # Such an upstream would obey a former holder that was paused.
        return self.timers.now() - lease.acquired_at >= (
            self.settings.control.pause_s
        )


def needs_work(
    name: str,
    current: configuration.Configuration,
    known: status.Status | None,
) -> bool:
    """Tell whether an owner has open moves or an old version to watch."""
    if known is not None and known.previous:
        return True
    for move in current.moves:
        if status.get_owner(move.subject) != name:
            continue
        if known is None or move.revision > known.adopted_revision:
            return True
        record = known.find(move.name)
        if record is not None and record.is_open:
            return True
    return False
