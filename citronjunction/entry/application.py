"""HTTP application of an entry."""

import dataclasses

from citronjunction.entry import context, flow, models, parsing, responses
from citronjunction.membership import liveness
from citronjunction.observability import metrics
from citronjunction.peering import node
from citronjunction.transport import http_server, routes
from citronjunction.verdicts import models as verdicts

ENTRIES_TTL_S = 10  # seconds for which callers keep the answer
MAX_LISTED_ENTRIES = 16  # entries named in one answer
SERVER_ERROR = 500  # HTTP status; from here on the fault is not the caller's
CONTINUATION_TTL_S = 60.0  # time an absent caller is waited for


@dataclasses.dataclass(slots=True)
class Continuation:
    """Hold a request taken over from another entry."""

    organisation: str
    response: responses.CallerResponse


class Application:
    """Route callers' and operators' requests."""

    def __init__(
        self,
        services: context.Services,
        parser: parsing.Parser,
        peers: node.PeerNode,
    ) -> None:
        """Take what requests are served with."""
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
        """Answer one request."""
        if exchange.request.path.startswith(parsing.SERVICES_PREFIX):
            self.call_service(exchange)
        else:
            self.routes.handle(exchange)

    def reject(
        self, exchange: http_server.Exchange, status: int, reason: str
    ) -> None:
        """Answer a request that breaks HTTP or its bounds."""
        failure: verdicts.Failure = parsing.build_rejection(
            status, 'bad_http', reason
        )
        if status >= SERVER_ERROR:
            failure = verdicts.MayHaveRun(reason, status, 'internal')
        responses.respond_failure(
            exchange, failure, parsing.create_request_id()
        )

    def complete(self, exchange: http_server.Exchange, _: str) -> None:
        """Start a completion."""
        name = parsing.create_request_id()
        parsed = self.parser.parse_completion(exchange.request, name)
        self._start(exchange, parsed, name)

    def call_service(self, exchange: http_server.Exchange) -> None:
        """Start a call of a plain service."""
        name = parsing.create_request_id()
        parsed = self.parser.parse_service_call(exchange.request, name)
        self._start(exchange, parsed, name)

    def resume(self, exchange: http_server.Exchange, name: str) -> None:
        """Give a handed-over request back to its caller."""
        organisation = self.parser.authenticate(exchange.request)
        if isinstance(organisation, verdicts.NotRun):
            responses.respond_failure(exchange, organisation, name)
            return
        held = self.continuations.get(name)
        if held is None or held.organisation != organisation.name:
            reason = 'no such continuation; it is kept for a minute'
            failure = verdicts.MayHaveRun(reason, 404, 'not_found')
            responses.respond_failure(exchange, failure, name)
            return
        self.continuations.pop(name)
        running = self.services.flows.get(name)
        if running is not None:
            exchange.on_disconnect = running.on_caller_gone
        held.response.attach(exchange)

    def add_continuation(
        self, organisation: str, response: responses.CallerResponse
    ) -> None:
        """Keep a taken-over request until its caller comes."""
        name = response.name
        self.continuations[name] = Continuation(organisation, response)
        self.services.timers.call_later(
            CONTINUATION_TTL_S,
            lambda: self._drop_continuation(name),
        )

    def list_entries(self, exchange: http_server.Exchange, _: str) -> None:
        """Tell which entries to use, and for how long."""
        live = self.peers.liveness.select_live(self.services.timers.now())
        ordered = liveness.order_for_caller(live, self.entry.random)
        rows = [
            {'address': held.address, 'zone': held.zone}
            for held in ordered[:MAX_LISTED_ENTRIES]
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
        known = configuration_cache.current.upstreams.values()
        rows = [
            {'id': spec.name, 'object': 'model', 'owned_by': 'citronjunction'}
            for spec in known
            if spec.kind.value == 'engine'
        ]
        routes.respond_json(exchange, 200, {'object': 'list', 'data': rows})

    def show_health(self, exchange: http_server.Exchange, _: str) -> None:
        """Tell that the process runs."""
        routes.respond_json(exchange, 200, {'status': 'ok'})

    def show_readiness(self, exchange: http_server.Exchange, _: str) -> None:
        """Tell whether the entry takes requests."""
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
        """Show metrics in the Prometheus format."""
        body = self.entry.metrics.render()
        exchange.respond(200, {'Content-Type': metrics.CONTENT_TYPE}, body)

    def show_decisions(
        self, exchange: http_server.Exchange, subject: str
    ) -> None:
        """Show the decisions about a request to an operator."""
        settings = self.entry.settings
        token = settings.process.operator_token
        given = exchange.request.headers.get('authorization', '')
        if not token or given != f'Bearer {token}':
            reason = 'operators only'
            failure = parsing.build_rejection(403, 'operators_only', reason)
            responses.respond_failure(exchange, failure, '')
            return
        lines = self.entry.log.find(subject)
        routes.respond_json(exchange, 200, {'decisions': lines})

    def _start(
        self,
        exchange: http_server.Exchange,
        parsed: parsing.Parsed,
        name: str,
    ) -> None:
        if isinstance(parsed, verdicts.NotRun):
            responses.respond_failure(exchange, parsed, name)
            self.entry.metrics.requests.add(1, {'outcome': parsed.code})
            return
        if self.entry.is_leaving:
            reason = 'this entry is leaving; ask /v1/entries at another one'
            failure = verdicts.NotRun(reason, code='entry_leaving')
            responses.respond_failure(exchange, failure, name)
            return
        response = responses.CallerResponse(
            name,
            exchange,
            streams=parsed.streams,
            is_chat=_is_chat(parsed),
        )
        started = flow.RequestFlow(self.services, parsed, response)
        exchange.on_disconnect = started.on_caller_gone
        started.start()

    def _drop_continuation(self, name: str) -> None:
        held = self.continuations.pop(name, None)
        running = self.services.flows.get(name)
        if held is not None and running is not None:
            running.cancel('the caller did not return')


def _is_chat(request: models.CallerRequest) -> bool:
    match request.detail:
        case models.Completion(is_chat=is_chat):
            return is_chat
        case _:
            return False
