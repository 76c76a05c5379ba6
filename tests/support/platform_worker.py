"""Stand-in of a worker of the platform with plain and streamed answers."""

import dataclasses
import json

SIGNATURE = 'sig.{}'
DOWN_S = 3.0  # after a fall
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


@dataclasses.dataclass
class Behaviour:
    """Configure how a worker answers.

    ``*_left`` count the next requests that are refused, fail or lose their
    connection; a refusal carries ``retry_after`` if set. ``limit`` is the number
    of requests a second that all answers name. ``cut_after_events`` aborts a
    stream in the middle of the event after that number. While ``is_silent``, requests run without an answer. The
    process ends as it begins to answer a prompt with ``deadly_part``. The next
    ``repeats_left`` refusals are written once more when a request follows on
    their connection. Plain answers have ``padding`` bytes more.

    With ``slots`` set, requests beyond them are refused. A worker that names
    ``brittle`` falls over when it refuses more than that in a second, and loses
    all connections for ``DOWN_S``.
    """

    service_time_s: float = 0.02
    event_count: int = 3
    event_interval_s: float = 0.01
    status: int = 200
    refusals_left: int = 0
    failures_left: int = 0
    aborts_left: int = 0
    cut_after_events: int | None = None
    is_silent: bool = False
    is_unsigned: bool = False
    extra_answers: int = 0
    is_leaving: bool = False
    retry_after: str = ''
    limit: str = ''
    brittle: str = ''
    slots: int = 0
    deadly_part: str = ''
    repeats_left: int = 0
    padding: int = 0


class PlatformWorker:
    """Run requests and record them.

    ``arrivals`` are all requests of callers, which came at ``arrived_at``,
    ``runs`` those that were accepted and ``cancelled`` those whose connection
    closed before the answer ended. A move takes ``copy_s``, one after another
    with ``copies_serially``.
    """

    def __init__(self, host, name):
        self.host = host
        self.name = name
        self.behaviour = Behaviour()
        self.arrivals = []
        self.arrived_at = []
        self.refused_at = []
        self.fell_at = []
        self.busy = set()
        self.refused_on = set()
        self.runs = []
        self.cancelled = []
        self.streams = {}
        self.moves = []
        self.deleted_handles = []
        self.move_status = 200
        self.leaves_at = None
        self.omits_handle = False
        self.copy_s = 0.05
        self.copies_serially = False
        self.copied_at = 0
        self.moved_at = []
        self.made = {}

    def handle(self, exchange):
        request = exchange.request
        if request.path == '/api/report':
            left_s = self.leaves_at and self.leaves_at - self.host.timers.now()
            report = {'phase': 'mixed'}
            if left_s is not None:
                report['leaves_ms'] = round(left_s * 1000)
                report['runs'] = [
                    [name, 12000, self.made.get(name, 0), 1]
                    for name, running in self.streams.items()
                    if not running.is_done
                ]
            exchange.respond(200, {}, json.dumps(report).encode())
            return
        if request.path.startswith('/api/kv-'):
            self._move(exchange)
            return
        self.arrivals.append(request)
        self.arrived_at.append(self.host.timers.now())
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            self._respond(exchange, 421, {'Instance': self.name}, b'')
            return
        if self._is_down():
            exchange.abort()
        elif self._is_full():
            self._refuse_full(exchange)
        else:
            self._accept(exchange)

    def _accept(self, exchange):
        behaviour = self.behaviour
        request = exchange.request
        self.busy.add(exchange)
        if behaviour.refusals_left:
            behaviour.refusals_left -= 1
            headers = {'Not-Executed': '1'}
            if behaviour.retry_after:
                headers['Retry-After'] = behaviour.retry_after
            self.refused_on.add(exchange.connection)
            self._respond(exchange, 503, headers, b'')
            return
        if behaviour.repeats_left and exchange.connection in self.refused_on:
            behaviour.repeats_left -= 1
            self.refused_on.discard(exchange.connection)
            exchange.connection.send(REFUSAL)
        self.runs.append(request)
        exchange.on_disconnect = lambda: self.cancelled.append(request)
        if behaviour.is_silent:
            return
        self.host.timers.call_later(
            behaviour.service_time_s, lambda: self._finish(exchange)
        )

    def reject(self, exchange, status, reason):
        exchange.respond(status, {}, reason.encode())

    def _is_down(self):
        now = self.host.timers.now()
        return bool(self.fell_at) and now < self.fell_at[-1] + DOWN_S

    def _is_full(self):
        self.busy = {known for known in self.busy if not known.is_done}
        slots = self.behaviour.slots
        return slots and len(self.busy) >= slots

    def _refuse_full(self, exchange):
        self._respond(exchange, 503, {'Not-Executed': '1'}, b'')
        now = self.host.timers.now()
        self.refused_at.append(now)
        recent = [at for at in self.refused_at if now - at < 1]
        brittle = self.behaviour.brittle
        if brittle and len(recent) > float(brittle):
            self.fell_at.append(now)
            for running in self.busy:
                running.abort()

    def _finish(self, exchange):
        if exchange.is_done:
            return
        behaviour = self.behaviour
        if behaviour.aborts_left:
            behaviour.aborts_left -= 1
            exchange.abort()
        elif behaviour.failures_left:
            behaviour.failures_left -= 1
            self._respond(exchange, 500, self._sign(exchange), b'failed')
        elif exchange.request.path.startswith('/stream'):
            self._stream(exchange)
        else:
            body = f'{self.name} {exchange.request.path}'.encode()
            body += bytes(behaviour.padding)
            headers = self._sign(exchange)
            self._respond(exchange, behaviour.status, headers, body)

    def _move(self, exchange):
        request = exchange.request
        if request.method == 'DELETE':
            self.deleted_handles.append(request.path.rpartition('/')[2])
            exchange.respond(200, {}, b'{}')
            return
        document = json.loads(request.body)
        self.moves.append(document)
        self.moved_at.append(self.host.timers.now())
        running = self.streams.get(document['id'])
        if running is None or running.is_done:
            exchange.respond(404, {}, b'{}')
            return
        if document['last']:
            running.abort()
        answer = {'handle': f'h-{document["id"]}', 'createdRev': 1}
        if self.omits_handle:
            answer = {}
        now = self.host.timers.now()
        begins_at = max(now, self.copied_at) if self.copies_serially else now
        self.copied_at = begins_at + self.copy_s
        self.host.timers.call_later(
            self.copied_at - now,
            lambda: exchange.respond(
                self.move_status, {}, json.dumps(answer).encode()
            ),
        )

    def _sign(self, exchange):
        request_id = exchange.request.headers.get('attempt-id', '')
        headers = {'Attempt-Id': request_id, 'Load': '1,0,6'}
        if not self.behaviour.is_unsigned:
            headers['Signature'] = SIGNATURE.format(self.name)
        return headers

    def _respond(self, exchange, status, headers, body):
        exchange.respond(status, self._add_needs(headers), body)

    def _add_needs(self, headers):
        if self.behaviour.is_leaving:
            headers['Server-Leaving'] = '1'
        if self.behaviour.limit:
            headers['Server-Limit'] = self.behaviour.limit
        if self.behaviour.brittle:
            headers['Server-Brittle'] = self.behaviour.brittle
        return headers

    def _stream(self, exchange):
        headers = self._sign(exchange)
        headers['Content-Type'] = 'text/event-stream'
        self._add_needs(headers)
        last = exchange.request.headers.get('last-event-id', '')
        self.streams[exchange.request.headers['attempt-id']] = exchange
        exchange.start_stream(200, headers)
        self._push(exchange, int(last) + 1 if last else 1)

    def _push(self, exchange, number):
        behaviour = self.behaviour
        if exchange.is_done:
            return
        if behaviour.cut_after_events is not None:
            if number > behaviour.cut_after_events:
                exchange.push(b'id: %d\nda' % number)
                exchange.abort()
                return
        if number > behaviour.event_count:
            exchange.finish()
            return
        exchange.push(b'id: %d\ndata: t%d\n\n' % (number, number))
        self.made[exchange.request.headers['attempt-id']] = number
        parts = exchange.request.headers.get('prefix-hash', '')
        if behaviour.deadly_part and behaviour.deadly_part in parts:
            self.host.kill()
            return
        self.host.timers.call_later(
            behaviour.event_interval_s, lambda: self._push(exchange, number + 1)
        )
