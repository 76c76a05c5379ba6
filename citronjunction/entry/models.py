"""A caller's request as the entry understands it."""

import dataclasses
import json

from citronjunction.organisations import models as organisations
from citronjunction.upstreams import models as upstreams

SERVICE_CALL_COST = 50.0  # tokens that a service call counts as
PROMPT_TOKEN_COST = 0.2  # cost of a prompt token relative to a generated one
CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Completion:
    """Hold what is particular to a completion."""

    document: dict[str, object]
    prompt: str
    max_tokens: int
    is_chat: bool

    def encode(self) -> bytes:
        """Return the body as the caller sent it."""
        return json.dumps(self.document).encode()


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """Hold what is particular to a plain service call."""

    method: str
    target: str
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold a valid request; ``deadline_s`` counts from its arrival."""

    name: str
    organisation: organisations.Organisation
    upstream: upstreams.UpstreamSpec
    route: str
    detail: Completion | ServiceCall
    request_class: organisations.RequestClass
    deadline_s: float
    fingerprint: int
    is_repeatable: bool
    streams: bool = False
    key: str = ''

    @property
    def cost(self) -> float:
        """Return the cost in generated tokens."""
        match self.detail:
            case Completion(prompt=prompt, max_tokens=max_tokens):
                prompt_tokens = len(prompt) / CHARACTERS_PER_TOKEN
                return prompt_tokens * PROMPT_TOKEN_COST + max_tokens
            case ServiceCall():
                return SERVICE_CALL_COST
