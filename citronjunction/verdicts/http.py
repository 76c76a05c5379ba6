"""Mapping of verdicts to HTTP statuses, headers and error bodies."""

import json
import math
from collections import abc

from citronjunction.verdicts import models

VERDICT_HEADER = 'Citron-Verdict'
REQUEST_ID_HEADER = 'Citron-Request-Id'
NOT_RUN = 'not-run'
MAY_HAVE_RUN = 'may-have-run'
MIN_SERVER_ERROR_STATUS = 500  # lower ones are the caller's errors


def get_headers(failure: models.Failure) -> dict[str, str]:
    """Return the response headers that state the verdict."""
    match failure:
        case models.NotRun(retry_after_s=delay):
            return {
                VERDICT_HEADER: NOT_RUN,
                'Retry-After': str(max(1, math.ceil(delay))),
            }
        case models.MayHaveRun():
            return {VERDICT_HEADER: MAY_HAVE_RUN}


def is_not_run(headers: abc.Mapping[str, str]) -> bool:
    """Return whether an answer with these headers states ``NotRun``.

    Keys are in lower case.
    """
    return headers.get(VERDICT_HEADER.lower()) == NOT_RUN


def build_error(failure: models.Failure, request_id: str) -> dict[str, object]:
    """Return the error body in the format of the OpenAI API."""
    is_client_error = failure.status < MIN_SERVER_ERROR_STATUS
    verdict = get_headers(failure)[VERDICT_HEADER]
    return {
        'error': {
            'message': failure.reason,
            'type': 'invalid_request_error'
            if is_client_error
            else 'server_error',
            'code': failure.code,
            'verdict': verdict,
            'request_id': request_id,
        },
    }


def encode_error(failure: models.Failure, request_id: str) -> bytes:
    """Return the error body encoded as JSON."""
    return json.dumps(build_error(failure, request_id)).encode()
