"""A validated request of a caller."""

import dataclasses
import json

from citronjunction.organisations import models as organisations
from citronjunction.upstreams import models as upstreams

SERVICE_CALL_COST = 50.0  # in generated tokens
PROMPT_TOKEN_COST = 0.2  # relative to a generated token
CHARACTERS_PER_TOKEN = 4  # estimate for prompts


@dataclasses.dataclass(slots=True, frozen=True)
class Completion:
    """Details of a completion request.

    ``document`` is the decoded body as the caller sent it.
    """

    document: dict[str, object]
    prompt: str
    max_tokens: int
    is_chat: bool

    def encode(self) -> bytes:
        """Return the body as JSON."""
        return json.dumps(self.document).encode()


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """Details of a call of a plain service."""

    method: str
    target: str
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """Validated request; ``deadline_s`` counts from its arrival.

    ``name`` is the request id. ``fingerprint`` is the same for resends of the
    request and ``key`` its idempotency key, empty if it has none.
    """

    name: str
    organisation: organisations.Organisation
    upstream: upstreams.UpstreamSpec
    route: str
    detail: Completion | ServiceCall
    request_class: organisations.RequestClass
    deadline_s: float
    fingerprint: int
    is_repeatable: bool
    is_streaming: bool = False
    key: str = ''

    @property
    def cost(self) -> float:
        """Return the cost of the request in generated tokens."""
        match self.detail:
            case Completion(prompt=prompt, max_tokens=max_tokens):
                prompt_tokens = len(prompt) / CHARACTERS_PER_TOKEN
                return prompt_tokens * PROMPT_TOKEN_COST + max_tokens
            case ServiceCall():
                return SERVICE_CALL_COST
