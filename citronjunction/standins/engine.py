"""Stand-in of a model engine: OpenAI-compatible completions.

Tokens are hashes of the prompt, and a simulated batch determines their timing.
"""

import dataclasses
import json
import os
import secrets
from collections import abc

import xxhash

from citronjunction.standins import batch, faults
from citronjunction.transport import http_server, routes, runtime

LOAD_HEADER = 'endpoint-load-metrics'
CRASH_EXIT_STATUS = 70
TOKENS_PER_CHARACTER = 0.25
BLOCK_CHARACTERS = int(batch.BLOCK_TOKENS / TOKENS_PER_CHARACTER)
SSE_HEADERS = {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-cache'}


def crash() -> None:
    """Exit the process at once, without cleanup."""
    os._exit(CRASH_EXIT_STATUS)


@dataclasses.dataclass(slots=True)
class EngineOptions:
    """Configure an engine; ``on_crash`` is called for simulated crashes."""

    name: str
    versions: list[str]
    checks_fencing: bool = True
    report_interval_s: float = 0.5
    on_crash: abc.Callable[[], None] = crash
    batch_options: batch.BatchOptions = dataclasses.field(
        default_factory=batch.BatchOptions
    )


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hash of each prefix that ends at a block boundary."""
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        hashes.append(xxhash.xxh64_intdigest(prompt[:end].encode()))
    return tuple(hashes)


def make_token(prompt: str, offset: int) -> str:
    """Return the token at an offset; the same prompt gives the same tokens."""
    number = xxhash.xxh32_intdigest(f'{offset}:{prompt}'.encode())
    return f'w{number % 9973} '


@dataclasses.dataclass(slots=True, eq=False)
class Completion:
    """Connect a job to the HTTP response that it produces."""

    job: batch.Job
    exchange: http_server.Exchange
    prompt: str
    model: str
    is_streaming: bool
    is_chat: bool
    first_offset: int = 0
    texts: list[str] = dataclasses.field(default_factory=list)

    def encode_token(self, text: str, is_last: bool) -> bytes:
        """Encode a token as a server-sent event."""
        choice: dict[str, object] = {
            'index': 0,
            'finish_reason': 'stop' if is_last else None,
        }
        if self.is_chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        event = {'id': self.job.name, 'model': self.model, 'choices': [choice]}
        return b'data: %b\n\n' % json.dumps(event).encode()

    def build_answer(self) -> dict[str, object]:
        """Build the body of a response that is not streamed."""
        text = ''.join(self.texts)
        choice: dict[str, object] = {'index': 0, 'finish_reason': 'stop'}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        usage = {
            'prompt_tokens': self.job.prompt_tokens,
            'completion_tokens': self.job.emitted,
            'recomputed_tokens': self.job.recomputed_tokens,
        }
        return {
            'id': self.job.name,
            'model': self.model,
            'choices': [choice],
            'usage': usage,
        }


class Engine:
    """Serve completions, load reports, version orders and KV cache moves."""

    def __init__(self, loop: runtime.Runtime, options: EngineOptions) -> None:
        """Create an idle engine and schedule its load reports."""
        self.loop = loop
        self.options = options
        self.batch = batch.Batch(options.batch_options)
        self.completions: dict[int, Completion] = {}
        self.faults: dict[str, faults.VersionFault] = {}
        self.served_counts: dict[str, int] = {}
        self.fencing = 0
        self.boot = secrets.token_hex(4)
        self.is_stepping = False
        self.report: dict[str, object] = {}
        self.routes = routes.Routes(
            (
                routes.Route('POST', '/v1/chat/completions', self.complete),
                routes.Route('POST', '/v1/completions', self.complete),
                routes.Route('GET', '/load', self.show_load),
                routes.Route('POST', '/orders', self.set_versions),
                routes.Route('POST', '/faults', self.set_fault),
                routes.Route('GET', '/kv/', self.export_kv, is_exact=False),
                routes.Route('POST', '/kv', self.import_kv),
            )
        )
        self.refresh_report()
        loop.timers.call_every(options.report_interval_s, self.refresh_report)

    def refresh_report(self) -> None:
        """Replace the load report, which is served until the next refresh."""
        self.report = {
            'running': len(self.batch.running),
            'queued': len(self.batch.queue),
            'slots': self.options.batch_options.slots,
            'cached_blocks': len(self.batch.cache),
            'recomputed_tokens': self.batch.recomputed_tokens,
            'versions': list(self.options.versions),
            'fencing': self.fencing,
            'boot': self.boot,
        }

    def complete(self, exchange: http_server.Exchange, _: str) -> None:
        """Start a completion, or apply the fault of its version."""
        body = routes.read_json(exchange) or {}
        _, _, version = str(body.get('model', '')).partition('@')
        if version not in self.options.versions:
            reason = f'version "{version}" is not loaded'
            headers = {'Citron-Verdict': 'not-run'}
            error = {'error': {'message': reason}}
            routes.respond_json(exchange, 404, error, headers)
            return
        fault = self.faults.get(version, faults.VersionFault())
        served = self.served_counts.get(version, 0)
        self.served_counts[version] = served + 1
        path = exchange.request.path
        is_faulty = fault.applies_to(served, len(self.batch.running), path)
        if fault.crash_on and fault.crash_on in exchange.request.body.decode():
            self.options.on_crash()
            return
        if is_faulty and fault.kind == 'fail':
            error = {'error': {'message': 'engine failure'}}
            routes.respond_json(exchange, 500, error)
            return
        if is_faulty and fault.kind == 'crash':
            self.options.on_crash()
            return
        slowdown = fault.slowdown if is_faulty and fault.kind == 'slow' else 1
        self._start(exchange, body, slowdown)

    def show_load(self, exchange: http_server.Exchange, _: str) -> None:
        """Return the last load report with current versions and fencing."""
        current = {
            'versions': list(self.options.versions),
            'fencing': self.fencing,
        }
        routes.respond_json(exchange, 200, {**self.report, **current})

    def set_versions(self, exchange: http_server.Exchange, _: str) -> None:
        """Set the served versions; answer an old fencing token with 409."""
        order = routes.read_json(exchange) or {}
        number = int(order.get('fencing', 0))
        if self.options.checks_fencing and number < self.fencing:
            error = {'error': {'message': f'fencing number {number} is old'}}
            routes.respond_json(exchange, 409, error)
            return
        self.fencing = max(self.fencing, number)
        self.options.versions[:] = [str(name) for name in order['versions']]
        routes.respond_json(exchange, 200, {'versions': self.options.versions})

    def set_fault(self, exchange: http_server.Exchange, _: str) -> None:
        """Set the fault of a version."""
        document = routes.read_json(exchange) or {}
        version = str(document.pop('version'))
        self.faults[version] = faults.VersionFault(**document)
        routes.respond_json(exchange, 200, {})

    def export_kv(self, exchange: http_server.Exchange, name: str) -> None:
        """Return the KV cache blocks of a running request."""
        jobs = [completion.job for completion in self.completions.values()]
        for job in jobs:
            if job.name == name:
                document = {'blocks': list(job.blocks)}
                routes.respond_json(exchange, 200, document)
                return
        routes.respond_json(exchange, 404, {'error': {'message': 'unknown'}})

    def import_kv(self, exchange: http_server.Exchange, _: str) -> None:
        """Add KV cache blocks from another engine to the cache."""
        document = routes.read_json(exchange) or {}
        self.batch.import_blocks(document.get('blocks', ()))
        routes.respond_json(exchange, 200, {})

    def _start(
        self,
        exchange: http_server.Exchange,
        body: dict[str, object],
        slowdown: float,
    ) -> None:
        is_chat = 'chat' in exchange.request.path
        prompt = _read_prompt(body)
        first_offset = int(body.get('resume_offset', 0))
        name = exchange.request.headers.get('citron-request-id', 'cmpl')
        job = batch.Job(
            name,
            hash_blocks(prompt),
            int(len(prompt) * TOKENS_PER_CHARACTER) + first_offset,
            max(first_offset + 1, int(body.get('max_tokens', 16))),
            int(body.get('priority', 0)),
            emitted=first_offset,
            slowdown=slowdown,
        )
        is_streaming = bool(body.get('stream'))
        model = str(body['model'])
        completion = Completion(
            job, exchange, prompt, model, is_streaming, is_chat, first_offset,
        )  # fmt: skip
        self.completions[id(job)] = completion
        exchange.on_disconnect = lambda: self._cancel(completion)
        if is_streaming:
            headers = {LOAD_HEADER: f'JSON {json.dumps(self.report)}'}
            exchange.start_stream(200, {**SSE_HEADERS, **headers})
        self.batch.submit(job)
        self._schedule(0)

    def _cancel(self, completion: Completion) -> None:
        self.batch.cancel(completion.job)
        self.completions.pop(id(completion.job), None)

    def _schedule(self, delay_s: float) -> None:
        if not self.is_stepping:
            self.is_stepping = True
            self.loop.timers.call_later(delay_s, self._step)

    def _step(self) -> None:
        self.is_stepping = False
        if self.batch.is_idle:
            return
        seconds, ready = self.batch.step()
        self.loop.timers.call_later(seconds, lambda: self._emit(ready))
        self.is_stepping = True

    def _emit(self, ready: abc.Iterable[batch.Job]) -> None:
        self.is_stepping = False
        for job in ready:
            completion = self.completions.get(id(job))
            if completion is not None:
                self._emit_token(completion)
        self._step()

    def _emit_token(self, completion: Completion) -> None:
        job = completion.job
        offset = completion.first_offset + len(completion.texts)
        text = make_token(completion.prompt, offset)
        completion.texts.append(text)
        is_last = offset + 1 >= job.max_tokens
        if completion.is_streaming:
            completion.exchange.push(completion.encode_token(text, is_last))
        if not is_last:
            return
        self.completions.pop(id(job), None)
        if completion.is_streaming:
            completion.exchange.push(b'data: [DONE]\n\n')
            completion.exchange.finish()
        else:
            load = {LOAD_HEADER: f'JSON {json.dumps(self.report)}'}
            answer = completion.build_answer()
            routes.respond_json(completion.exchange, 200, answer, load)


def _read_prompt(body: dict[str, object]) -> str:
    messages = body.get('messages')
    if isinstance(messages, list):
        return '\n'.join(str(part.get('content', '')) for part in messages)
    return str(body.get('prompt', ''))
