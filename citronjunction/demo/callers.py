"""Callers of the demonstration, which check every answer."""

import collections
import json
import random
import threading
import time
from http import client as http_client

from citronjunction.standins import engine

TIMEOUT_S = 30.0
PAUSE_S = 0.05
TOKEN_COUNT = 40
DONE = '[DONE]'
OK = 200


class CallerStats:
    """Count the outcomes of requests, and signal callers to stop."""

    def __init__(self) -> None:
        """Create empty counters."""
        self.lock = threading.Lock()
        self.counts: collections.Counter[str] = collections.Counter()
        self.problems: list[str] = []
        self.stop = threading.Event()

    def add(self, outcome: str, problem: str = '') -> None:
        """Count an outcome and record a problem, if there is one."""
        with self.lock:
            self.counts[outcome] += 1
            if problem:
                self.problems.append(problem)


class Caller(threading.Thread):
    """Send requests to random entries until stopped.

    Refresh the list of entries when one can't be reached.
    """

    def __init__(
        self,
        stats: CallerStats,
        entries: list[str],
        token: str,
        upstream: str,
        seed: int,
    ) -> None:
        """Create a caller of ``upstream`` that starts with these entries."""
        super().__init__(daemon=True)
        self.stats = stats
        self.entries = list(entries)
        self.token = token
        self.upstream = upstream
        self.random = random.Random(seed)  # noqa: S311
        self.seed = seed
        self.sent = 0

    def run(self) -> None:
        """Send requests until the stop event is set."""
        while not self.stats.stop.is_set():
            self.sent += 1
            if self.upstream.endswith('-llm'):
                self._send_completion()
            else:
                self._send_hold()
            time.sleep(self.random.uniform(0, 2 * PAUSE_S))

    def _send_completion(self) -> None:
        prompt = f'{self.upstream} question {self.seed}-{self.sent}'
        body = json.dumps(
            {
                'model': self.upstream,
                'prompt': prompt,
                'max_tokens': TOKEN_COUNT,
                'stream': True,
            }
        )
        for _ in range(20):
            outcome = self._try_stream(body, prompt)
            if outcome != 'refused':
                break
            time.sleep(PAUSE_S)
        self.stats.add(outcome)

    def _try_stream(self, body: str, prompt: str) -> str:
        entry = self._choose_entry()
        try:
            tokens = self._stream(entry, 'POST', '/v1/completions', body)
        except OSError:
            self._refresh_entries()
            return 'refused'
        if tokens is None:
            return 'refused'
        expected = [
            engine.make_token(prompt, step) for step in range(TOKEN_COUNT)
        ]
        if tokens == expected:
            return 'answered'
        text = f'{self.upstream}: {len(tokens)} of {TOKEN_COUNT} tokens'
        self.stats.add('problem', text)
        return 'lost'

    def _stream(
        self,
        entry: str,
        method: str,
        path: str,
        body: str | None,
    ) -> list[str] | None:
        connection = http_client.HTTPConnection(entry, timeout=TIMEOUT_S)
        headers = {'Authorization': f'Bearer {self.token}'}
        connection.request(method, path, body, headers)
        reply = connection.getresponse()
        if reply.status != OK:
            return self._record_refusal(reply)
        tokens: list[str] = []
        try:
            return self._read_events(reply, tokens)
        except (OSError, http_client.HTTPException):
            return tokens

    def _read_events(
        self,
        reply: http_client.HTTPResponse,
        tokens: list[str],
    ) -> list[str]:
        event_type = ''
        for raw in reply:
            name, _, text = raw.decode().strip().partition(': ')
            if name == 'event':
                event_type = text
            elif text == DONE:
                break
            elif name == 'data' and event_type == 'continue':
                return tokens + self._continue_stream(json.loads(text))
            elif name == 'data' and not event_type:
                event = json.loads(text)
                tokens.append(event['choices'][0]['text'])
        return tokens

    def _continue_stream(self, continuation: dict[str, str]) -> list[str]:
        self.stats.add('handed over')
        return (
            self._stream(
                continuation['entry'], 'GET', continuation['path'], None
            )
            or []
        )

    def _record_refusal(self, reply: http_client.HTTPResponse) -> None | list:
        verdict = reply.headers['Citron-Verdict']
        text = reply.read().decode()
        if verdict == 'not-run':
            self.stats.add('refused as not run')
            return None
        self.stats.add('problem', f'{self.upstream}: {reply.status} {text}')
        return []

    def _send_hold(self) -> None:
        name = f'{self.upstream}-{self.seed}-{self.sent}'
        body = json.dumps({'order': name})
        path = f'/v1/services/{self.upstream}/holds'
        for _ in range(20):
            outcome = self._try_hold(path, body, name)
            if outcome == 'answered':
                break
            time.sleep(PAUSE_S)
        self.stats.add(outcome)

    def _try_hold(self, path: str, body: str, key: str) -> str:
        headers = {
            'Authorization': f'Bearer {self.token}',
            'Idempotency-Key': key,
        }
        entry = self._choose_entry()
        connection = http_client.HTTPConnection(entry, timeout=TIMEOUT_S)
        try:
            connection.request('POST', path, body, headers)
            reply = connection.getresponse()
            text = reply.read().decode()
        except (OSError, http_client.HTTPException):
            self._refresh_entries()
            return 'lost'
        if reply.status == OK:
            return 'answered'
        if reply.headers['Citron-Verdict'] == 'not-run':
            self.stats.add('refused as not run')
            return 'refused'
        self.stats.add('problem', f'{key}: {reply.status} {text}')
        return 'unknown'

    def _choose_entry(self) -> str:
        return self.random.choice(self.entries)

    def _refresh_entries(self) -> None:
        for entry in self.entries:
            connection = http_client.HTTPConnection(entry, timeout=2)
            try:
                connection.request('GET', '/v1/entries')
                rows = json.load(connection.getresponse())['entries']
            except (OSError, ValueError, http_client.HTTPException):
                continue
            self.entries = [row['address'] for row in rows]
            return
