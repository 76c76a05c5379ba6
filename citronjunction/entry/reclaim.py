"""Handling of reclaims of workers and of this entry."""

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

MIGRATION_LEAD_S = 2.0  # time before a worker's end at which streams migrate
HANDOVER_LEAD_S = 2.5  # time before this entry's end at which it hands over
IDLE_CHECK_S = 0.1
SETTLE_S = 0.3  # time after the last request for answers in transit
HANDOVER_TIMEOUT_S = 2.0  # a request that no peer has accepted resumes here


class ReclaimHandler:
    """Move streams off leaving workers and requests off a leaving entry.

    ``pending_handovers`` maps request ids to requests that were offered to a
    peer, which has not accepted them yet. ``announce`` publishes the state of
    this entry, ``leaves_at`` is monotonic time.
    """

    def __init__(
        self,
        loop: runtime.Runtime,
        services: context.Services,
        app: application.Application,
        peers: node.PeerNode,
        announce: abc.Callable[[], None],
    ) -> None:
        self.loop = loop
        self.services = services
        self.entry = services.entry
        self.app = app
        self.peers = peers
        self.announce = announce
        self.pending_handovers: dict[str, flow.RequestFlow] = {}
        self.leaves_at: float = 0

    def on_notice(self, host: store_models.Host) -> None:
        """Handle the notice that a host is leaving."""
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
        """Stop new requests to a worker and schedule its streams' migration."""
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
        self.loop.timers.call_later(
            delay_s, lambda: self._migrate_streams(name)
        )

    def leave(self, leaves_in_s: float) -> None:
        """Shut down gracefully within ``leaves_in_s`` seconds."""
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
        self.loop.timers.call_later(IDLE_CHECK_S, self._stop_when_idle)

    def accept_handover(
        self,
        link: links.Link,
        message: messages.Handover,
    ) -> None:
        """Continue a request of a leaving entry, and confirm that to it."""
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
        self._resume_request(parsed, message)
        process = self.entry.settings.process
        link.send(
            messages.HandoverTaken(
                message.request,
                f'{process.address}:{process.port}',
            ),
        )

    def on_handover_taken(self, message: messages.HandoverTaken) -> None:
        """Redirect the caller to the entry that has accepted its request."""
        request_flow = self.pending_handovers.pop(message.request, None)
        if request_flow is None or request_flow.is_over:
            return
        request_flow.response.redirect(message.address)
        request_flow.cancel(f'handed over to {message.address}')

    def _resume_request(
        self,
        request: models.CallerRequest,
        message: messages.Handover,
    ) -> None:
        response = responses.CallerResponse(
            request.name,
            None,
            is_streaming=request.is_streaming,
            is_chat=message.path == parsing.CHAT_PATH,
        )
        response.buffer.extend(message.answer)
        response.offset = message.offset
        request_flow = flow.RequestFlow(
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
        request_flow.start()

    def _migrate_streams(self, worker: str) -> None:
        for request_flow in tuple(self.services.flows.values()):
            attempt = request_flow.attempt
            if not request_flow.retry_state.can_resume or attempt is None:
                continue
            if attempt.choice.worker.name == worker:
                migration.Migration(self.services, request_flow).start()

    def _hand_over_all(self) -> None:
        for request_flow in tuple(self.services.flows.values()):
            self._hand_over(request_flow)

    def _hand_over(self, request_flow: flow.RequestFlow) -> None:
        now = self.loop.timers.now()
        live = self.peers.liveness.select_live(now)
        names = {entry.name for entry in live}
        links_to_live = [
            link
            for name, link in self.peers.open_links.items()
            if name in names
        ]
        if not links_to_live or not isinstance(
            request_flow.request.detail, models.Completion
        ):
            return
        link = self.entry.random.choice(links_to_live)
        if request_flow.attempt is not None:
            request_flow.pause()
        self.pending_handovers[request_flow.request.name] = request_flow
        link.send(_build_handover(request_flow, now))
        self.loop.timers.call_later(
            HANDOVER_TIMEOUT_S,
            lambda: self._resume_here(request_flow),
        )

    def _resume_here(self, request_flow: flow.RequestFlow) -> None:
        is_waiting = (
            self.pending_handovers.pop(request_flow.request.name, None)
            is not None
        )
        if is_waiting and request_flow.has_slot:
            request_flow.run()

    def _stop_when_idle(self) -> None:
        is_late = self.loop.timers.now() > self.leaves_at
        if self.services.flows and not is_late:
            self.loop.timers.call_later(IDLE_CHECK_S, self._stop_when_idle)
        else:
            self.loop.timers.call_later(SETTLE_S, self.loop.stop_loop)


def _build_handover(
    request_flow: flow.RequestFlow, now: float
) -> messages.Handover:
    request = request_flow.request
    detail = request.detail
    left_s = max(1, request_flow.retry_state.deadline_at - now)
    request_class: organisations.RequestClass = request.request_class
    return messages.Handover(
        request.name,
        request.organisation.name,
        request.route,
        detail.encode(),
        request_class.value,
        request_flow.retry_state.offset,
        left_s,
        b'' if request.is_streaming else bytes(request_flow.response.buffer),
    )
