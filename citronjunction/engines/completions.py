"""Completion requests and event streams of model engines."""

import dataclasses
import json

EVENT_SEPARATOR = b'\n\n'
DONE_EVENT = b'data: [DONE]'


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionRequest:
    """Parts of a completion request that routing and admission need."""

    model: str
    text: str
    max_tokens: int
    is_streaming: bool


def parse_completion_request(
    document: dict[str, object],
) -> CompletionRequest | str:
    """Return the parsed request, or a message about its first error."""
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
    """Return the body for an engine, which always streams its answer.

    ``offset`` is the number of tokens that the caller already has.
    """
    model = f'{document["model"]}@{version}'
    overrides = {'model': model, 'priority': priority, 'stream': True}
    if offset:
        overrides['resume_offset'] = offset
    return json.dumps({**document, **overrides}).encode()


class EventStreamParser:
    """Split a byte stream into complete server-sent events."""

    __slots__ = ('is_done', 'buffer', 'token_count')

    def __init__(self) -> None:
        self.buffer = b''
        self.token_count = 0
        self.is_done = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the token events that ``chunk`` completes, and count them."""
        data = self.buffer + chunk if self.buffer else chunk
        end = data.rfind(EVENT_SEPARATOR)
        if end < 0:
            self.buffer = data
            return b''
        events_end = end + len(EVENT_SEPARATOR)
        events = data[:events_end]
        self.buffer = data[events_end:]
        done_at = events.find(DONE_EVENT)
        if done_at >= 0:
            self.is_done = True
            events = events[:done_at]
        self.token_count += events.count(EVENT_SEPARATOR)
        return events


def join_events(events: bytes, is_chat: bool) -> dict[str, object]:
    """Return the token events of a complete stream as one JSON answer."""
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
    full_text = ''.join(texts)
    choice = {'index': 0, 'finish_reason': 'stop'}
    if is_chat:
        choice['message'] = {'role': 'assistant', 'content': full_text}
        answer['object'] = 'chat.completion'
    else:
        choice['text'] = full_text
        answer['object'] = 'text_completion'
    answer['choices'] = [choice]
    answer['usage'] = {'completion_tokens': len(texts)}
    return answer
