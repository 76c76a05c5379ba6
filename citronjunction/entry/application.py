"""HTTP interface of an entry for callers and operators."""

import dataclasses

from citronjunction.entry import context, flow, models, parsing, responses
from citronjunction.membership import liveness
from citronjunction.observability import metrics
from citronjunction.peering import node
from citronjunction.transport import http_server, routes
from citronjunction.verdicts import models as verdicts

ENTRIES_TTL_S = 10  # callers may cache the list of entries for this long
MAX_LISTED_ENTRIES = 16
MIN_SERVER_ERROR_STATUS = 500  # lower ones are the caller's errors
CONTINUATION_TTL_S = 60.0  # for the caller of a handed-over request to return


@dataclasses.dataclass(slots=True)
class Continuation:
    """Request taken over from another entry, until its caller returns."""

    organisation: str
    response: responses.CallerResponse


class Application:
    """Answer the HTTP requests of callers and operators.

    ``continuations`` maps request ids to requests that were taken over from
    other entries and whose callers have not returned yet.
    """

    def __init__(
        self,
        services: context.Services,
        parser: parsing.Parser,
        peers: node.PeerNode,
    ) -> None:
        self.services = services
        self.entry = services.entry
        self.parser = parser
        self.peers = peers
        self.continuations: dict[str, Continuation] = {}
        self.routes = routes.Routes(
            (
                routes.Route('GET', '/v1/entries', self.list_entries),
                routes.Route('GET', '/v1/models', self.list_models),
                routes.Route('POST', parsing.CHAT_PATH, self.complete),
                routes.Route('POST', '/v1/completions', self.complete),
                routes.Route(
                    'GET',
                    '/v1/continuations/',
                    self.resume,
                    is_exact=False,
                ),
                routes.Route('GET', '/healthz', self.show_health),
                routes.Route('GET', '/readyz', self.show_readiness),
                routes.Route('GET', '/metrics', self.show_metrics),
                routes.Route(
                    'GET',
                    '/v1/decisions/',
                    self.show_decisions,
                    is_exact=False,
                ),
            )
        )

    def handle(self, exchange: http_server.Exchange) -> None:
        """Pass a request to the method for its path."""
        if exchange.request.path.startswith(parsing.SERVICES_PREFIX):
            self.call_service(exchange)
        else:
            self.routes.handle(exchange)

    def reject(
        self, exchange: http_server.Exchange, status: int, reason: str
    ) -> None:
        """Answer an invalid or too large request, or a failed handler."""
        failure: verdicts.Failure = parsing.build_rejection(
            status, 'bad_http', reason
        )
        if status >= MIN_SERVER_ERROR_STATUS:
            failure = verdicts.MayHaveRun(reason, status, 'internal')
        responses.respond_failure(
            exchange, failure, parsing.create_request_id()
        )

    def complete(self, exchange: http_server.Exchange, _: str) -> None:
        """Start a completion request."""
        name = parsing.create_request_id()
        parsed = self.parser.parse_completion(exchange.request, name)
        self._start(exchange, parsed, name)

    def call_service(self, exchange: http_server.Exchange) -> None:
        """Start a call of a plain service."""
        name = parsing.create_request_id()
        parsed = self.parser.parse_service_call(exchange.request, name)
        self._start(exchange, parsed, name)

    def resume(self, exchange: http_server.Exchange, name: str) -> None:
        """Send the answer of a taken-over request to its returned caller."""
        organisation = self.parser.authenticate(exchange.request)
        if isinstance(organisation, verdicts.NotRun):
            responses.respond_failure(exchange, organisation, name)
            return
        continuation = self.continuations.get(name)
        if (
            continuation is None
            or continuation.organisation != organisation.name
        ):
            reason = 'no such continuation; they expire after 60 seconds'
            failure = verdicts.MayHaveRun(reason, 404, 'not_found')
            responses.respond_failure(exchange, failure, name)
            return
        self.continuations.pop(name)
        request_flow = self.services.flows.get(name)
        if request_flow is not None:
            exchange.on_disconnect = request_flow.on_caller_gone
        continuation.response.attach(exchange)

    def add_continuation(
        self, organisation: str, response: responses.CallerResponse
    ) -> None:
        """Store a taken-over request until its caller returns.

        The request is cancelled if the caller does not return in time.
        """
        name = response.name
        self.continuations[name] = Continuation(organisation, response)
        self.services.timers.call_later(
            CONTINUATION_TTL_S,
            lambda: self._expire_continuation(name),
        )

    def list_entries(self, exchange: http_server.Exchange, _: str) -> None:
        """List live entries in random order, less busy ones likelier first."""
        live = self.peers.liveness.select_live(self.services.timers.now())
        ordered = liveness.order_for_caller(live, self.entry.random)
        rows = [
            {'address': state.address, 'zone': state.zone}
            for state in ordered[:MAX_LISTED_ENTRIES]
        ]
        document = {'entries': rows, 'ttl_s': ENTRIES_TTL_S}
        routes.respond_json(exchange, 200, document)

    def list_models(self, exchange: http_server.Exchange, _: str) -> None:
        """List the upstreams that are model engines."""
        organisation = self.parser.authenticate(exchange.request)
        if isinstance(organisation, verdicts.NotRun):
            responses.respond_failure(exchange, organisation, '')
            return
        configuration_cache = self.entry.configuration_cache
        upstreams = configuration_cache.current.upstreams.values()
        rows = [
            {'id': spec.name, 'object': 'model', 'owned_by': 'citronjunction'}
            for spec in upstreams
            if spec.kind.value == 'engine'
        ]
        routes.respond_json(exchange, 200, {'object': 'list', 'data': rows})

    def show_health(self, exchange: http_server.Exchange, _: str) -> None:
        """Answer 200 while the process runs."""
        routes.respond_json(exchange, 200, {'status': 'ok'})

    def show_readiness(self, exchange: http_server.Exchange, _: str) -> None:
        """Report whether the entry accepts requests, with its state."""
        configuration_cache = self.entry.configuration_cache
        revision = configuration_cache.current.revision
        is_ready = revision > 0 and not self.entry.is_leaving
        document = {
            'ready': is_ready,
            'revision': revision,
            'leaving': self.entry.is_leaving,
            'peers': len(self.peers.open_links),
            'peer_bytes': self.peers.count_sent_bytes(),
            'entries': self.entry.live_entries,
            'workers': len(self.entry.fleet.by_name),
        }
        routes.respond_json(exchange, 200 if is_ready else 503, document)

    def show_metrics(self, exchange: http_server.Exchange, _: str) -> None:
        """Return the metrics in the Prometheus format."""
        body = self.entry.metrics.render()
        exchange.respond(200, {'Content-Type': metrics.CONTENT_TYPE}, body)

    def show_decisions(
        self, exchange: http_server.Exchange, subject: str
    ) -> None:
        """Return the logged decisions about a subject to an operator."""
        settings = self.entry.settings
        token = settings.process.operator_token
        authorization = exchange.request.headers.get('authorization', '')
        if not token or authorization != f'Bearer {token}':
            reason = 'only operators may read decisions'
            failure = parsing.build_rejection(403, 'operators_only', reason)
            responses.respond_failure(exchange, failure, '')
            return
        lines = self.entry.log.find(subject)
        routes.respond_json(exchange, 200, {'decisions': lines})

    def _start(
        self,
        exchange: http_server.Exchange,
        parsed: parsing.ParseResult,
        name: str,
    ) -> None:
        if isinstance(parsed, verdicts.NotRun):
            responses.respond_failure(exchange, parsed, name)
            self.entry.metrics.requests.add(1, {'outcome': parsed.code})
            return
        if self.entry.is_leaving:
            reason = 'this entry is leaving; use another one of /v1/entries'
            failure = verdicts.NotRun(reason, code='entry_leaving')
            responses.respond_failure(exchange, failure, name)
            return
        response = responses.CallerResponse(
            name,
            exchange,
            is_streaming=parsed.is_streaming,
            is_chat=_is_chat(parsed),
        )
        request_flow = flow.RequestFlow(self.services, parsed, response)
        exchange.on_disconnect = request_flow.on_caller_gone
        request_flow.start()

    def _expire_continuation(self, name: str) -> None:
        continuation = self.continuations.pop(name, None)
        request_flow = self.services.flows.get(name)
        if continuation is not None and request_flow is not None:
            request_flow.cancel('the caller did not return')


def _is_chat(request: models.CallerRequest) -> bool:
    match request.detail:
        case models.Completion(is_chat=is_chat):
            return is_chat
        case _:
            return False
