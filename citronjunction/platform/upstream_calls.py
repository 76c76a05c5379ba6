"""Encoding of requests to workers and decoding of their answers."""

import math
from collections import abc

from absl import logging

from citronjunction.gateway import models
from citronjunction.platform import names
from citronjunction.transport import echoes, http_client

MS_PER_S = 1000
MISDIRECTED = 421
UNAVAILABLE = 503
IS_LEAVING = '1'
MAX_RETRY_AFTER_S = 300.0  # a forged value must not exclude a worker for good
RESPONSE_MARGIN_S = 1.0  # read timeout beyond the worker's own deadline
# Before the deadline, by which an answer without a length is complete if
# possible: it must still reach the caller, perhaps by way of a peer.
END_MARGIN_S = 0.1
ECHO_HEADER = names.REQUEST_ID.lower()


def encode(
    request: models.CallerRequest,
    assignment: models.Assignment,
) -> http_client.Call:
    """Encode the request for the worker that it is assigned to."""
    headers = dict(request.headers)
    headers[names.TIME_LEFT_MS] = _encode_time_left(assignment.deadline_s)
    headers[names.EXPECTED_WORKER] = assignment.worker
    if assignment.organisation:
        headers[names.ORGANISATION] = assignment.organisation
    if assignment.priority is not None:
        headers[names.PRIORITY] = str(assignment.priority)
    if assignment.last_event:
        headers[names.LAST_EVENT] = assignment.last_event
    if assignment.kv_source:
        headers[names.KV_SOURCE] = assignment.kv_source
    return _build_call(request, headers, assignment)


def encode_forwarded(
    request: models.CallerRequest,
    forwarding: models.Forwarding,
) -> http_client.Call:
    """Encode a caller's request for a peer, with the caller's key."""
    headers = dict(request.headers)
    headers[names.TIME_LEFT_MS] = _encode_time_left(forwarding.deadline_s)
    headers[names.FORWARDED] = forwarding.mark
    if request.key:
        headers[names.AUTHORIZATION] = f'{names.BEARER_PREFIX}{request.key}'
    if forwarding.last_event:
        headers[names.LAST_EVENT] = forwarding.last_event
    return _build_call(request, headers, forwarding)


def _build_call(
    request: models.CallerRequest,
    headers: abc.Mapping[str, str],
    destination: models.Assignment | models.Forwarding,
) -> http_client.Call:
    return http_client.Call(
        destination.address,
        request.method,
        request.target,
        headers,
        request.body,
        connect_s=destination.connect_s,
        silence_s=destination.deadline_s + RESPONSE_MARGIN_S,
        end_s=destination.deadline_s - END_MARGIN_S,
        max_idle_s=destination.max_idle_s,
        host=request.host,
        echo=echoes.Echo(ECHO_HEADER, request.name),
    )


def _encode_time_left(deadline_s: float) -> str:
    return str(max(1, int(deadline_s * MS_PER_S)))


def decode(head: http_client.Head) -> models.AnswerHead:
    """Return what the head of a worker's answer states about the request."""
    headers = head.headers
    is_misdirected = head.status == MISDIRECTED
    return models.AnswerHead(
        head.status,
        tuple(_select_relayed(head)),
        _read_length(headers),
        is_refused=names.NOT_RUN.lower() in headers or is_misdirected,
        is_misdirected=is_misdirected,
        is_authentic=(
            names.SIGNATURE.lower() in headers
            and 'content-encoding' not in headers
        ),
        is_leaving=headers.get(names.LEAVING.lower(), '').strip() == IS_LEAVING,
        retry_after_s=_read_retry_after(head),
        is_framed=head.is_framed,
        limit_per_s=_read_rate(headers, names.LIMIT),
        max_refusals_per_s=_read_rate(headers, names.BRITTLE),
    )


def _select_relayed(
    head: http_client.Head,
) -> abc.Iterator[tuple[bytes, bytes]]:
    for name, text in head.fields:
        key = name.decode('latin-1').lower()
        if key not in names.HOP_BY_HOP_HEADERS:
            yield name, text


def _read_retry_after(head: http_client.Head) -> float | None:
    text = head.headers.get(names.RETRY_AFTER.lower())
    if text is None or head.status != UNAVAILABLE:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not seconds > 0:
        logging.warning('worker sent an unusable Retry-After: %.40r', text)
        return None
    return min(seconds, MAX_RETRY_AFTER_S)


def _read_rate(headers: abc.Mapping[str, str], name: str) -> float | None:
    text = headers.get(name.lower())
    if text is None:
        return None
    try:
        rate = float(text)
    except ValueError:
        rate = math.nan
    if not 0 <= rate < math.inf:
        logging.warning('worker sent an unusable %s: %.40r', name, text)
        return None
    return rate


def _read_length(headers: abc.Mapping[str, str]) -> int | None:
    text = headers.get('content-length', '')
    return int(text) if text.isdecimal() else None
