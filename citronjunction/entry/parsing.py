"""Validation of callers' requests."""

import json
import secrets
from typing import Union

from citronjunction.attempts import suspects
from citronjunction.conf import models as conf
from citronjunction.configuration import models as configuration
from citronjunction.engines import completions
from citronjunction.entry import models
from citronjunction.organisations import models as organisations
from citronjunction.transport import http_server
from citronjunction.upstreams import models as upstreams
from citronjunction.verdicts import models as verdicts

SERVICES_PREFIX = '/v1/services/'
CHAT_PATH = '/v1/chat/completions'
CLASS_HEADER = 'citron-class'
DEADLINE_HEADER = 'citron-deadline'
KEY_HEADER = 'idempotency-key'
MAX_KEY_CHARACTERS = 255
MAX_DEADLINE_S = 3600.0

ParseResult = Union[models.CallerRequest, verdicts.NotRun]


def create_request_id() -> str:
    """Return a new request id that cannot be guessed."""
    return f'req-{secrets.token_hex(12)}'


def build_rejection(status: int, code: str, reason: str) -> verdicts.NotRun:
    """Build the failure of an invalid request, which has not run."""
    return verdicts.NotRun(reason, status=status, code=code)


class Parser:
    """Authenticate and validate HTTP requests of callers."""

    __slots__ = ('directory', 'configuration_cache', 'settings')

    def __init__(
        self,
        settings: conf.Admission,
        configuration_cache: configuration.ConfigurationCache,
    ) -> None:
        self.settings = settings
        self.configuration_cache = configuration_cache
        self.directory = organisations.Directory(())
        configuration_cache.listeners.append(self._update_directory)

    def authenticate(
        self,
        request: http_server.Request,
    ) -> organisations.Organisation | verdicts.NotRun:
        """Return the organisation of the bearer token, or a failure."""
        authorization = request.headers.get('authorization', '')
        organisation = self.directory.authenticate(authorization)
        if organisation is None:
            reason = 'missing or unknown bearer token'
            return build_rejection(401, 'invalid_token', reason)
        return organisation

    def parse_completion(
        self, request: http_server.Request, name: str
    ) -> ParseResult:
        """Validate a completion request."""
        organisation = self.authenticate(request)
        if isinstance(organisation, verdicts.NotRun):
            return organisation
        return self.build_completion(organisation, request, name)

    def build_completion(
        self,
        organisation: organisations.Organisation,
        request: http_server.Request,
        name: str,
    ) -> ParseResult:
        """Validate a completion request of a known organisation."""
        try:
            document = json.loads(request.body)
        except (ValueError, RecursionError):
            return build_rejection(
                400, 'invalid_json', 'the body is not valid JSON'
            )
        if not isinstance(document, dict):
            return build_rejection(
                400, 'invalid_json', 'the body is not an object'
            )
        parsed = completions.parse_completion_request(document)
        if isinstance(parsed, str):
            return build_rejection(400, 'invalid_request', parsed)
        upstream = self.configuration_cache.current.upstreams.get(parsed.model)
        if (
            upstream is None
            or upstream.kind is not upstreams.UpstreamKind.engine
        ):
            reason = f'model "{parsed.model}" does not exist'
            return build_rejection(404, 'model_not_found', reason)
        detail = models.Completion(
            document,
            parsed.text,
            parsed.max_tokens,
            request.path == CHAT_PATH,
        )
        return self._build_request(
            organisation,
            upstream,
            request,
            detail,
            name,
            parsed.is_streaming,
        )

    def parse_service_call(
        self, request: http_server.Request, name: str
    ) -> ParseResult:
        """Validate a call of a plain service."""
        organisation = self.authenticate(request)
        if isinstance(organisation, verdicts.NotRun):
            return organisation
        rest = request.path.removeprefix(SERVICES_PREFIX)
        upstream_name, _, path = rest.partition('/')
        upstream = self.configuration_cache.current.upstreams.get(upstream_name)
        if (
            upstream is None
            or upstream.kind is not upstreams.UpstreamKind.service
        ):
            reason = f'service "{upstream_name}" does not exist'
            return build_rejection(404, 'service_not_found', reason)
        target = f'/{path}'
        if request.query:
            target = f'{target}?{request.query}'
        detail = models.ServiceCall(
            request.method,
            target,
            request.headers.get('content-type', 'application/octet-stream'),
            request.body,
        )
        return self._build_request(
            organisation, upstream, request, detail, name
        )

    def _update_directory(self, accepted: configuration.Configuration) -> None:
        self.directory = organisations.Directory(
            accepted.organisations.values(),
        )

    def _build_request(
        self,
        organisation: organisations.Organisation,
        upstream: upstreams.UpstreamSpec,
        request: http_server.Request,
        detail: models.Completion | models.ServiceCall,
        name: str,
        is_streaming: bool = False,
    ) -> ParseResult:
        headers = request.headers
        key = headers.get(KEY_HEADER, '')
        if len(key) > MAX_KEY_CHARACTERS:
            reason = f'Idempotency-Key is over {MAX_KEY_CHARACTERS} characters'
            return build_rejection(400, 'invalid_key', reason)
        try:
            request_class = organisations.RequestClass(
                headers.get(CLASS_HEADER, 'standard').lower(),
            )
        except ValueError:
            reason = 'Citron-Class must be urgent, standard or background'
            return build_rejection(400, 'invalid_class', reason)
        deadline_s = self._parse_deadline(headers.get(DEADLINE_HEADER, ''))
        if deadline_s is None:
            reason = 'Citron-Deadline must be seconds between 0 and 3600'
            return build_rejection(400, 'invalid_deadline', reason)
        route, path = _get_route(request, detail)
        is_engine = isinstance(detail, models.Completion)
        return models.CallerRequest(
            name,
            organisation,
            upstream,
            route,
            detail,
            request_class,
            deadline_s,
            suspects.compute_fingerprint(
                organisation.name,
                request.path,
                request.body,
            ),
            is_engine or upstream.is_repeatable(request.method, path),
            is_streaming,
            key,
        )

    def _parse_deadline(self, text: str) -> float | None:
        if not text:
            return self.settings.default_deadline_s
        try:
            seconds = float(text)
        except ValueError:
            return None
        return seconds if 0 < seconds <= MAX_DEADLINE_S else None


def _get_route(
    request: http_server.Request,
    detail: models.Completion | models.ServiceCall,
) -> tuple[str, str]:
    match detail:
        case models.Completion():
            return request.path, request.path
        case models.ServiceCall(method=method, target=target):
            path = target.partition('?')[0]
            first = path.split('/')[1]
            return f'{method} /{first}', path
