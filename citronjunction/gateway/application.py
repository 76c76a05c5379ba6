"""Routing and authentication of callers' requests."""

from citronjunction.gateway import context, flow, models, sources
from citronjunction.transport import http_server
from citronjunction.verdicts import http
from citronjunction.verdicts import models as verdicts

NOT_FOUND = 404
UNAUTHORISED = 401
RETRY_AFTER_S = 0.4  # an entry receives its configuration within this time
RETRY_ELSEWHERE_S = 0.05  # another entry can serve the request at once


class Application:
    """Handle callers' requests."""

    def __init__(
        self, services: context.Services, copy_sources: sources.Sources
    ) -> None:
        self.services = services
        self.copy_sources = copy_sources

    def handle(self, exchange: http_server.Exchange) -> None:
        """Start the flow of a request that the configuration allows."""
        request = self.services.codec.decode_request(exchange.request)
        configuration = self.services.configuration
        if configuration is None:
            reason = 'this entry has no configuration yet'
            self._refuse(exchange, request, reason, RETRY_AFTER_S)
            return
        if self.services.is_leaving:
            reason = 'this entry is stopping'
            self._refuse(exchange, request, reason, RETRY_ELSEWHERE_S)
            return
        route = self.services.routes.find(request.host, request.path)
        if route is None:
            reason = f'no route for {request.path}'
            self._deny(exchange, request, NOT_FOUND, reason)
            return
        if not exchange.has_socket():
            reason = 'no descriptor is left for a connection to a worker'
            self._refuse(exchange, request, reason, RETRY_AFTER_S)
            return
        organisation = None
        if configuration.organisations and not route.is_public:
            name = configuration.keys.get(request.key)
            if name is None:
                reason = 'unknown key'
                self._deny(exchange, request, UNAUTHORISED, reason)
                return
            organisation = configuration.organisations[name]
        flow.Flow(
            self.services,
            request,
            route,
            organisation,
            exchange,
            self.services.forwarder.signer.verify(request),
        ).start()

    def reject(
        self,
        exchange: http_server.Exchange,
        status: int,
        reason: str,
    ) -> None:
        """Answer a request that is invalid, too large, or failed internally."""
        self.services.log.write('reject', '', status=status, reason=reason)
        failure = verdicts.NotRun(reason, 0, status, 'invalid_request')
        if status == http_server.UNAVAILABLE:
            failure = verdicts.NotRun(reason, RETRY_AFTER_S)
        elif status >= http.MIN_SERVER_ERROR_STATUS:
            failure = verdicts.MayHaveRun(reason, status, 'internal')
        _respond(exchange, failure)

    def _refuse(
        self,
        exchange: http_server.Exchange,
        request: models.CallerRequest,
        reason: str,
        delay_s: float,
    ) -> None:
        spread = 0.5 + self.services.random.random()
        self.services.log.write('refuse', request.name, reason=reason)
        _respond(exchange, verdicts.NotRun(reason, delay_s * spread))

    def _deny(
        self,
        exchange: http_server.Exchange,
        request: models.CallerRequest,
        status: int,
        reason: str,
    ) -> None:
        silence = self.copy_sources.measure_configuration()
        self.services.log.write(
            'deny',
            request.name,
            status=status,
            reason=reason,
            configuration=self.services.configuration.version,
            source=silence.source,
            silent_s=round(silence.seconds, 3),
        )
        _respond(exchange, verdicts.NotRun(reason, 0, status, 'denied'))


def _respond(exchange: http_server.Exchange, failure: verdicts.Failure) -> None:
    headers = http.get_headers(failure)
    headers['Content-Type'] = 'application/json'
    match failure:
        case verdicts.NotRun(retry_after_s=delay_s) if delay_s:
            headers['Retry-After'] = f'{delay_s:.2f}'
        case _:
            headers.pop('Retry-After', None)
    body = http.encode_error(failure, '')
    exchange.respond(failure.status, headers, body)
