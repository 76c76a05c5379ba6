"""Decoding of callers' requests."""

from collections import abc

from citronjunction.gateway import models
from citronjunction.platform import names
from citronjunction.transport import http_server

MS_PER_S = 1000
MAX_PROMPT_PARTS = 4096  # the size limit of a request head bounds the list too
MAX_TOKENS = 1_000_000_000  # of a request, or of a part of its prompt


def decode(request: http_server.Request) -> models.CallerRequest:
    """Decode a caller's request; malformed optional headers count as absent."""
    headers = request.headers
    target = request.path
    if request.query:
        target = f'{target}?{request.query}'
    host, _, _ = headers.get('host', '').partition(':')
    return models.CallerRequest(
        headers.get(names.REQUEST_ID.lower(), ''),
        host,
        request.method,
        target,
        request.path,
        _select_forwarded(headers),
        request.body,
        _read_key(headers),
        _read_deadline(headers),
        _read_prompt(headers),
        headers.get(names.LAST_EVENT.lower(), ''),
        request.arrived_at,
        headers.get(names.FORWARDED.lower(), ''),
    )


def _select_forwarded(headers: abc.Mapping[str, str]) -> dict[str, str]:
    options = headers.get('connection', '').lower()
    dropped = {option.strip() for option in options.split(',')}
    dropped |= names.HOP_BY_HOP_HEADERS | names.SYSTEM_HEADERS
    return {name: text for name, text in headers.items() if name not in dropped}


def _read_key(headers: abc.Mapping[str, str]) -> str:
    text = headers.get('authorization', '')
    if text[: len(names.BEARER_PREFIX)].lower() != names.BEARER_PREFIX:
        return ''
    return text[len(names.BEARER_PREFIX) :].strip()


def _read_deadline(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get(names.TIME_LEFT_MS.lower(), '')
    try:
        return max(0, float(text)) / MS_PER_S
    except ValueError:
        return None


def _read_prompt(headers: abc.Mapping[str, str]) -> models.Prompt | None:
    prompt_text, _, output_text = headers.get(
        names.TOKENS.lower(),
        '',
    ).partition(',')
    prompt_tokens = _read_tokens(prompt_text)
    output_tokens = _read_tokens(output_text)
    if prompt_tokens is None or output_tokens is None:
        return None
    return models.Prompt(
        headers.get(names.MODEL.lower(), ''),
        prompt_tokens,
        output_tokens,
        tuple(_read_parts(headers.get(names.PROMPT_PARTS.lower(), ''))),
    )


def _read_parts(text: str) -> abc.Iterator[models.PromptPart]:
    for part in text.split(',')[:MAX_PROMPT_PARTS]:
        name, _, count = part.strip().partition(':')
        tokens = _read_tokens(count)
        if tokens is not None:
            yield models.PromptPart(name, tokens)


def _read_tokens(text: str) -> int | None:
    """Return a number of tokens, or None for anything else."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()):
        return None
    if len(digits) > len(str(MAX_TOKENS)) or int(digits) > MAX_TOKENS:
        return None
    return int(digits)
