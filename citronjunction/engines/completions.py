"""Requests to model engines and the framing of their streams."""

import dataclasses
import json

EVENT_SEPARATOR = b'\n\n'
DONE_EVENT = b'data: [DONE]'


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionRequest:
    """Hold what routing and admission need of a completion request."""

    model: str
    text: str
    max_tokens: int
    is_streaming: bool


def parse_completion_request(
    document: dict[str, object],
) -> CompletionRequest | str:
    """Read a completion request; a text tells what is wrong with it."""
    model = document.get('model')
    if not isinstance(model, str) or not model:
        return '"model" must be the name of an upstream'
    max_tokens = document.get('max_tokens', 256)
    if not isinstance(max_tokens, int) or not 0 < max_tokens <= 1 << 20:
        return '"max_tokens" must be a positive integer'
    messages = document.get('messages')
    prompt = document.get('prompt')
    if isinstance(messages, list) and messages:
        if not all(isinstance(part, dict) for part in messages):
            return '"messages" must be a list of objects'
        text = '\n'.join(str(part.get('content', '')) for part in messages)
    elif isinstance(prompt, str):
        text = prompt
    else:
        return 'either "messages" or "prompt" is required'
    is_streaming = document.get('stream') is True
    return CompletionRequest(model, text, max_tokens, is_streaming)


def build_body(
    document: dict[str, object],
    version: str,
    priority: int,
    offset: int,
) -> bytes:
    """Build the body for an engine; it always streams."""
    model = f'{document["model"]}@{version}'
    extras = {'model': model, 'priority': priority, 'stream': True}
    if offset:
        extras['resume_offset'] = offset
    return json.dumps({**document, **extras}).encode()


class EventStreamParser:
    """Cut a byte stream into whole server-sent events."""

    __slots__ = ('is_done', 'buffer', 'token_count')

    def __init__(self) -> None:
        """Start before the first event."""
        self.buffer = b''
        self.token_count = 0
        self.is_done = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole token events and count them."""
        text = self.buffer + chunk if self.buffer else chunk
        end = text.rfind(EVENT_SEPARATOR)
        if end < 0:
            self.buffer = text
            return b''
        cut = end + len(EVENT_SEPARATOR)
        whole = text[:cut]
        self.buffer = text[cut:]
        done = whole.find(DONE_EVENT)
        if done >= 0:
            self.is_done = True
            whole = whole[:done]
        self.token_count += whole.count(EVENT_SEPARATOR)
        return whole


def join_events(events: bytes, is_chat: bool) -> dict[str, object]:
    """Join the events of a whole stream into one answer."""
    answer: dict[str, object] = {}
    texts = []
    for line in events.split(EVENT_SEPARATOR):
        if not line.startswith(b'data: '):
            continue
        answer = json.loads(line[len(b'data: ') :])
        choice = answer['choices'][0]
        if is_chat:
            texts.append(choice.get('delta', {}).get('content') or '')
        else:
            texts.append(choice.get('text') or '')
    whole = ''.join(texts)
    choice = {'index': 0, 'finish_reason': 'stop'}
    if is_chat:
        choice['message'] = {'role': 'assistant', 'content': whole}
        answer['object'] = 'chat.completion'
    else:
        choice['text'] = whole
        answer['object'] = 'text_completion'
    answer['choices'] = [choice]
    answer['usage'] = {'completion_tokens': len(texts)}
    return answer
