"""Reclaims: of workers, and of the entry itself."""

from collections import abc

from citronjunction.entry import (
    application,
    context,
    flow,
    migration,
    models,
    parsing,
    responses,
)
from citronjunction.membership import facts, messages
from citronjunction.organisations import models as organisations
from citronjunction.peering import node
from citronjunction.store import models as store_models
from citronjunction.transport import http_server, links, runtime
from citronjunction.verdicts import models as verdicts

MIGRATION_LEAD_S = 2.0  # time kept to move streams before a worker is gone
HANDOVER_LEAD_S = 2.5  # time kept to hand requests over
IDLE_CHECK_S = 0.1  # interval of looking whether all requests are done
SETTLE_S = 0.3  # time for last bytes to leave
HANDOVER_TIMEOUT_S = 2.0  # time until a handover without answer is given up


class ReclaimHandler:
    """Act on notices."""

    def __init__(
        self,
        loop: runtime.Runtime,
        services: context.Services,
        app: application.Application,
        peers: node.PeerNode,
        announce: abc.Callable[[], None],
    ) -> None:
        """Take what is to be saved and through what."""
        self.loop = loop
        self.services = services
        self.entry = services.entry
        self.app = app
        self.peers = peers
        self.announce = announce
        self.pending_handovers: dict[str, flow.RequestFlow] = {}
        self.leaves_at: float = 0

    def on_notice(self, host: store_models.Host) -> None:
        """Learn that a host is leaving."""
        if host.name == self.entry.name:
            self.leave(host.leaves_in_s)
            return
        if host.upstream:
            self.mark_worker_leaving(host.name, host.leaves_in_s)
            key = f'leaving/{host.name}'
            if key not in self.peers.table.facts_by_key:
                now = self.loop.timers.wall_time()
                fact = facts.LeavingHost(host.name, now, now + host.leaves_in_s)
                self.peers.publish(fact)

    def mark_worker_leaving(self, name: str, leaves_in_s: float) -> None:
        """Give a worker no new work, and move its streams in time."""
        worker = self.entry.fleet.mark_leaving(name)
        if worker is None:
            return
        self.entry.log.write(
            'leaving',
            name,
            in_flight=worker.in_flight,
            leaves_in_s=leaves_in_s,
        )
        delay_s = max(0, leaves_in_s - MIGRATION_LEAD_S)
        self.loop.timers.call_later(delay_s, lambda: self._migrate(name))

    def leave(self, leaves_in_s: float) -> None:
        """Stop gracefully within the time left."""
        if self.entry.is_leaving:
            return
        self.entry.is_leaving = True
        self.leaves_at = self.loop.timers.now() + leaves_in_s
        self.entry.log.write(
            'leaving',
            self.entry.name,
            running=len(self.services.flows),
            leaves_in_s=leaves_in_s,
        )
        self.announce()
        delay_s = max(0, leaves_in_s - HANDOVER_LEAD_S)
        self.loop.timers.call_later(delay_s, self._hand_over_all)
        self.loop.timers.call_later(IDLE_CHECK_S, self._check_done)

    def accept_handover(
        self,
        link: links.Link,
        message: messages.Handover,
    ) -> None:
        """Go on with a request of a leaving entry."""
        organisations_by_name = (
            self.entry.configuration_cache.current.organisations
        )
        organisation = organisations_by_name.get(message.organisation)
        if organisation is None or self.entry.is_leaving:
            return
        headers = {
            parsing.CLASS_HEADER: message.request_class,
            parsing.DEADLINE_HEADER: str(message.deadline_s),
        }
        request = http_server.Request(
            'POST', message.path, '', headers, message.body
        )
        parsed = self.app.parser.build_completion(
            organisation,
            request,
            message.request,
        )
        if isinstance(parsed, verdicts.NotRun):
            return
        self._go_on(parsed, message)
        address = self.entry.settings.process
        link.send(
            messages.HandoverTaken(
                message.request,
                f'{address.address}:{address.port}',
            ),
        )

    def on_handover_taken(self, message: messages.HandoverTaken) -> None:
        """Send the caller on to the entry that has its request."""
        running = self.pending_handovers.pop(message.request, None)
        if running is None or running.is_over:
            return
        running.response.redirect(message.address)
        running.cancel(f'handed over to {message.address}')

    def _go_on(
        self,
        request: models.CallerRequest,
        message: messages.Handover,
    ) -> None:
        response = responses.CallerResponse(
            request.name,
            None,
            streams=request.streams,
            is_chat=message.path == parsing.CHAT_PATH,
        )
        response.buffer.extend(message.answer)
        response.offset = message.offset
        taken = flow.RequestFlow(
            self.services,
            request,
            response,
            message.offset,
        )
        self.app.add_continuation(request.organisation.name, response)
        self.entry.log.write(
            'take over',
            request.name,
            offset=message.offset,
        )
        taken.start()

    def _migrate(self, worker: str) -> None:
        for running in tuple(self.services.flows.values()):
            made = running.attempt
            if not running.retry_state.can_resume or made is None:
                continue
            if made.choice.worker.name == worker:
                migration.Migration(self.services, running).start()

    def _hand_over_all(self) -> None:
        for running in tuple(self.services.flows.values()):
            self._hand_over(running)

    def _hand_over(self, running: flow.RequestFlow) -> None:
        now = self.loop.timers.now()
        live = self.peers.liveness.select_live(now)
        names = {held.name for held in live}
        ready = [
            link
            for name, link in self.peers.open_links.items()
            if name in names
        ]
        if not ready or not isinstance(
            running.request.detail, models.Completion
        ):
            return
        link = self.entry.random.choice(ready)
        if running.attempt is not None:
            running.pause()
        self.pending_handovers[running.request.name] = running
        link.send(_build_handover(running, now))
        self.loop.timers.call_later(
            HANDOVER_TIMEOUT_S,
            lambda: self._resume(running),
        )

    def _resume(self, running: flow.RequestFlow) -> None:
        is_waiting = (
            self.pending_handovers.pop(running.request.name, None) is not None
        )
        if is_waiting and running.has_slot:
            running.run()

    def _check_done(self) -> None:
        is_late = self.loop.timers.now() > self.leaves_at
        if self.services.flows and not is_late:
            self.loop.timers.call_later(IDLE_CHECK_S, self._check_done)
        else:
            self.loop.timers.call_later(SETTLE_S, self.loop.stop_loop)


def _build_handover(running: flow.RequestFlow, now: float) -> messages.Handover:
    request = running.request
    detail = request.detail
    left_s = max(1, running.retry_state.deadline_at - now)
    request_class: organisations.RequestClass = request.request_class
    return messages.Handover(
        request.name,
        request.organisation.name,
        request.route,
        detail.encode(),
        request_class.value,
        running.retry_state.offset,
        left_s,
        b'' if request.streams else bytes(running.response.buffer),
    )
