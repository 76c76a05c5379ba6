"""Stand-ins of the store and cloud API by the platform's published protocol."""

import copy
import json
from urllib import parse

JSON = {'Content-Type': 'application/json'}
PREFIX = '/api/objects/'


class PlatformStore:
    """Store objects by kind and name, with a history for watches.

    While ``is_down``, calls are not answered; the next ``lost_answers``
    writes take effect without an answer. ``era`` rises with each restore.
    With ``fails_lists``, lists are answered with status 500.
    ``raw`` maps strings in objects to the bytes that stand for them in answers.
    """

    def __init__(self, host):
        self.host = host
        self.objects = {}
        self.history = []
        self.era = 1
        self.revision = 1
        self.oldest_revision = 0
        self.watches = []
        self.is_down = False
        self.fails_lists = False
        self.lost_answers = 0
        self.page_size = 500
        self.raw = {}
        self.writes = []
        self.calls = 0
        self.reads = 0

    def put(self, kind, name, spec, status=None):
        """Write an object unconditionally, as an operator or a worker does."""
        self.revision += 1
        existing = self.objects.get((kind, name), {'meta': {}, 'status': {}})
        meta = {'name': name, 'rev': self.revision}
        stored = {
            'meta': meta,
            'spec': spec,
            'status': existing['status'] if status is None else status,
        }
        self.objects[(kind, name)] = stored
        self._record(kind, stored, False)
        return stored

    def remove(self, kind, name):
        removed = self.objects.pop((kind, name), None)
        if removed is not None:
            self.revision += 1
            self._record(kind, removed, True)

    def copy(self):
        """Return a copy of all objects for a later ``restore``."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, copied):
        """Replace all objects by an earlier copy and cut off the watches."""
        self.era += 1
        self.revision, self.objects = copied[0], copy.deepcopy(copied[1])
        self.history = [
            change for change in self.history if change[0] <= self.revision
        ]
        self.cut_watches()

    def cut_watches(self):
        """Cut off the watches that wait."""
        for exchange, _, _ in self.watches:
            exchange.abort()
        self.watches.clear()

    def compact(self):
        """Drop the history; older watches are answered with status 410."""
        self.oldest_revision = self.revision
        self.history.clear()

    def handle(self, exchange):
        self.calls += 1
        if self.is_down:
            return
        request = exchange.request
        kind, _, rest = request.path.removeprefix(PREFIX).partition('/')
        name = parse.unquote(rest.removesuffix('/status'))
        query = dict(parse.parse_qsl(request.query))
        if request.method == 'GET' and 'watch' in query:
            self._watch(exchange, kind, query)
        elif request.method == 'GET':
            self._read(exchange, kind, name, query.get('after', ''))
        else:
            self._write(exchange, kind, name)

    def reject(self, exchange, status, reason):
        self._respond(exchange, status, {'error': reason})

    def _respond(self, exchange, status, document):
        headers = {**JSON, 'Store-Era': str(self.era)}
        body = json.dumps(document).encode()
        for text, wire in self.raw.items():
            body = body.replace(json.dumps(text).encode(), wire)
        exchange.respond(status, headers, body)

    def _read(self, exchange, kind, name, after):
        if name:
            self.reads += 1
            stored = self.objects.get((kind, name))
            self._respond(exchange, 200 if stored else 404, stored or {})
            return
        if self.fails_lists:
            self._respond(exchange, 500, {})
            return
        names = sorted(
            stored_name
            for stored_kind, stored_name in self.objects
            if stored_kind == kind and stored_name > after
        )
        page = names[: self.page_size]
        document = {
            'entries': [self.objects[(kind, listed)] for listed in page],
            'hasMore': len(names) > len(page),
            'asOf': self.revision,
        }
        self._respond(exchange, 200, document)

    def _write(self, exchange, kind, name):
        document = json.loads(exchange.request.body)
        meta = document.get('meta', {})
        name = name or meta['name']
        existing = self.objects.get((kind, name))
        self.writes.append((kind, name, document))
        if exchange.request.method == 'POST':
            conflicts = existing is not None
        else:
            expected = meta.get('rev')
            conflicts = existing is None or expected not in {
                None,
                existing['meta']['rev'],
            }
        if conflicts:
            self._respond(exchange, 409, existing or {})
            return
        if exchange.request.path.endswith('/status'):
            stored = self.put(kind, name, existing['spec'], document['status'])
        else:
            stored = self.put(kind, name, document['spec'])
        if self.lost_answers:
            self.lost_answers -= 1
            exchange.abort()
            return
        self._respond(exchange, 200, stored)

    def _watch(self, exchange, kind, query):
        since = int(query['watch'])
        if not self.oldest_revision <= since <= self.revision:
            self._respond(exchange, 410, {})
            return
        if self._answer_watch(exchange, kind, since):
            return
        watch = (exchange, kind, since)
        self.watches.append(watch)
        wait_s = int(query['waitMs']) / 1000
        self.host.timers.call_later(wait_s, lambda: self._end_watch(watch))

    def _end_watch(self, watch):
        if watch in self.watches:
            self.watches.remove(watch)
            if not self.is_down:
                document = {'events': [], 'asOf': self.revision}
                self._respond(watch[0], 200, document)

    def _answer_watch(self, exchange, kind, since):
        events = [
            {'object': stored, 'tombstone': is_removed}
            for revision, event_kind, stored, is_removed in self.history
            if event_kind == kind and revision > since
        ]
        if events:
            document = {'events': events, 'asOf': self.revision}
            self._respond(exchange, 200, document)
        return bool(events)

    def _record(self, kind, stored, is_removed):
        self.history.append((self.revision, kind, stored, is_removed))
        if self.is_down:
            return
        for watch in tuple(self.watches):
            if self._answer_watch(*watch):
                self.watches.remove(watch)


class PlatformCloud:
    """Record usage reports and orders of hosts.

    While ``is_down``, all calls are refused; with ``has_no_reclaimable``, only
    orders of reclaimable hosts are.
    """

    def __init__(self):
        self.usage = []
        self.orders = []
        self.is_down = False
        self.has_no_reclaimable = False

    def group_usage(self):
        """Return the counts of each usage window in the order of the reports."""
        grouped = {}
        for _, report in self.usage:
            grouped.setdefault(report['windowId'], []).append(report['counts'])
        return grouped

    def handle(self, exchange):
        request = exchange.request
        if self.is_down:
            exchange.respond(503, JSON, b'{}')
            return
        document = json.loads(request.body)
        sender = (
            request.headers['holder'],
            int(request.headers['fencing-token']),
        )
        if request.path == '/usage':
            self.usage.append((sender, document))
        else:
            self.orders.append((sender, document))
            if self.has_no_reclaimable and document.get('spot'):
                exchange.respond(409, JSON, b'{}')
                return
        exchange.respond(200, JSON, b'{}')

    def reject(self, exchange, status, reason):
        exchange.respond(status, JSON, b'{}')
