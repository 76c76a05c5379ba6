"""Verdicts: whether a request was answered, not run or may have run.

A caller may safely send a request again if its verdict is ``NotRun``.
"""

import dataclasses
from typing import Union


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer was delivered."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """No upstream started the request.

    ``retry_after_s`` is the delay before the caller should send it again,
    ``status`` the HTTP status and ``code`` the error code of the response.
    """

    reason: str
    retry_after_s: float = 1.0
    status: int = 503
    code: str = 'unavailable'


@dataclasses.dataclass(slots=True, frozen=True)
class MayHaveRun:
    """An upstream may have started the request."""

    reason: str
    status: int = 502
    code: str = 'upstream_failed'


Verdict = Union[Answered, NotRun, MayHaveRun]
Failure = Union[NotRun, MayHaveRun]
