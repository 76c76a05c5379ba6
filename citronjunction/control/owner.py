"""An owner: the moves of one upstream or organisation under a lease."""

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
    """Carry out the moves of an upstream or organisation as lease holder.

    The progress is kept in a status object in the store, which each step
    replaces.
    """

    def __init__(
        self,
        settings: conf.Settings,
        peers: node.PeerNode,
        api: object_api.ObjectApi,
        log: decisions.DecisionLog,
        name: str,
    ) -> None:
        """Build an owner; its name is also that of its lease and status."""
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
        self.status: status.Status | None = None
        self.version = ''
        self.epoch = 0
        self.has_pending_call = False
        self.detector = evidence.FaultDetector(control.significance)
        self.assessed_key = ''
        self.wanted_since = self.timers.now()

    def tick(self, current: configuration.Configuration) -> None:
        """Renew or acquire the lease, then carry out what is due."""
        self.lease_client.tick()
        if not self.lease_client.is_held():
            self.status = None
            return
        if self.epoch != self.lease_client.lease.epoch:
            self.epoch = self.lease_client.lease.epoch
            self.status = None
        if self.has_pending_call:
            return
        if self.status is None:
            self.has_pending_call = True
            self.api.read(status.KIND, self.name, self._on_read)
            return
        self.workers.request_reports()
        self._step(current)

    def _on_read(self, result: store_models.ReadResult) -> None:
        self.has_pending_call = False
        match result:
            case store_models.Stored(stored_object=stored):
                self.status = status.decode(stored.spec)
                self.version = stored.version
            case store_models.Absent():
                self.status = status.Status(self.name)
                self.version = ''

    def _step(self, current: configuration.Configuration) -> None:
        inputs = self._build_inputs(current)
        stepped = mover.step(self.status, inputs)
        if stepped != self.status:
            self._write(stepped)
            return
        if self._may_order(current):
            for order in mover.plan_orders(self.status, inputs):
                self.workers.send(order, self.epoch)

    def _build_inputs(
        self, current: configuration.Configuration
    ) -> mover.StepInputs:
        now = self.timers.now()
        live = self.peers.liveness.select_live(now)
        revisions = [entry.revision for entry in live]
        version = self.status.candidate
        if not version and self.status.previous:
            version = self.status.stable
        return mover.StepInputs(
            self.timers.wall_time(),
            current,
            self.workers.get_views(),
            version,
            self._assess(version),
            self._find_withdrawn(),
            min(revisions, default=0),
        )

    def _assess(self, version: str) -> evidence.Assessment:
        key = f'{version} {self.status.release}'
        if self.assessed_key != key:
            self.assessed_key = key
            self.detector = evidence.FaultDetector(
                self.settings.control.significance
            )
        rows = evidence_rows.gather_rows(
            self.peers.table,
            self.upstream,
            version,
            self.status.release,
        )
        return self.detector.assess(rows)

    def _find_withdrawn(self) -> dict[str, str]:
        return {
            fact.version: fact.reason
            for fact in self.peers.table.select(facts.WithdrawnVersion)
            if fact.upstream == self.upstream
            and fact.release >= self.status.release
        }

    def _write(self, stepped: status.Status) -> None:
        operation = uuid.uuid4().hex
        written = dataclasses.replace(
            stepped,
            step=self.status.step + 1,
            epoch=self.epoch,
            operation=operation,
        )
        self.has_pending_call = True
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
        self.has_pending_call = False
        match result:
            case store_models.Stored(stored_object=stored):
                self._log_changes(written)
                self.status = written
                self.version = stored.version
                self.peers.publish(
                    facts.TrafficState(self.name, written.step, stored.spec),
                )
            case store_models.NotWritten():
                return
            case _:
                # The write may have taken effect: read the status first.
                self.status = None

    def _log_changes(self, written: status.Status) -> None:
        for record in written.moves:
            before = self.status.find_move(record.name) if self.status else None
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
        # An upstream that does not check the epoch would obey a former
        # holder that resumes after a pause, so wait out the longest pause.
        return self.timers.now() - lease.acquired_at >= (
            self.settings.control.pause_s
        )


def needs_work(
    name: str,
    current: configuration.Configuration,
    known: status.Status | None,
) -> bool:
    """Return whether an owner has open moves or an old version to watch."""
    if known is not None and known.previous:
        return True
    for move in current.moves:
        if status.get_owner(move.subject) != name:
            continue
        if known is None or move.revision > known.adopted_revision:
            return True
        record = known.find_move(move.name)
        if record is not None and record.is_open:
            return True
    return False
