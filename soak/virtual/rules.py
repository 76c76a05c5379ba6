"""Invariants of a run, judged from its record."""

import collections
import re
from collections import abc

from soak.virtual import history, quota_rule

LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5  # requests in a window
NOTICE_S = 0.5  # until an entry counts as informed
FALLS_SLACK = 2
FALLS_SHARE = 0.1  # of the workers
CUT_SHARE = 2 / 3  # of the share served elsewhere
CUT_SLACK = 10  # first tries that may fail
CUT_SLACK_SHARE = 0.02  # of all first tries
DRAIN_S = 2.0
STORED_DRAIN_S = 3.0
CONFIG_S = 3.0
NOT_FOUND = 404  # HTTP status
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 50
OVER_QUOTA = 429  # HTTP status
FINAL_ANSWER_S = 0.5  # past the deadline
EVENT = re.compile(rb'id: (\d+)\ndata: t(\d+)\n\n')

Rule = abc.Callable[[history.History], abc.Iterator[str]]


def check(record: history.History) -> list[str]:
    """Return a text for each violation, starting with the rule's name."""
    return [
        f'{rule.__name__.removeprefix("check_")}: {text}'
        for rule in RULES
        for text in rule(record)
    ]


def check_limit(record: history.History) -> abc.Iterator[str]:
    """Yield windows with more requests than a worker takes from all entries."""
    for limit, span in record.limits:
        worker = next(iter(span.names))
        informed_at = _find_informed(record, worker, span)
        counted = sorted(
            arrival.at
            for arrival in record.arrivals
            if arrival.worker == worker
            and arrival.at >= informed_at.get(arrival.entry, float('inf'))
            and span.binds(arrival.at)
            and record.is_in_touch(arrival.entry, arrival.at)
        )
        allowed = LIMIT_TOLERANCE * limit * LIMIT_WINDOW_S + LIMIT_SLACK
        worst = _count_worst(counted, LIMIT_WINDOW_S)
        if worst > allowed:
            yield f'{worker} got {worst} requests, allowed {allowed}'


def check_falls(record: history.History) -> abc.Iterator[str]:
    """Yield times in which too many brittle workers fell over."""
    for span in record.brittle:
        falls = sum(
            worker in span.names and span.binds(at)
            for worker, at in record.falls
        )
        allowed = FALLS_SLACK + FALLS_SHARE * len(span.names)
        if falls > allowed:
            yield f'{falls} falls, allowed {allowed}'


def check_recover(record: history.History) -> abc.Iterator[str]:
    """Yield cuts in which callers of cut-off entries were served far worse."""
    asked = quota_rule.Asked(record)
    for span in record.cuts:
        tries = [
            request
            for request in record.requests
            if _is_owed(asked, request)
            and span.binds(request.sent_at)
            and record.is_in_touch(request.entry, request.sent_at)
            and _is_any_connected(record, request.sent_at)
        ]
        cut = [request for request in tries if request.entry in span.names]
        others = [
            request
            for request in tries
            if not _is_cut(record, request.entry, request.sent_at)
        ]
        failed = sum(not request.is_served for request in cut)
        allowed = CUT_SLACK + CUT_SLACK_SHARE * len(tries)
        if not cut or not others or failed <= allowed:
            continue
        if _measure_served(cut) < CUT_SHARE * _measure_served(others):
            yield f'{failed} of {len(cut)} first tries failed'


def check_twice(record: history.History) -> abc.Iterator[str]:
    """Yield requests that must not be repeated and ran more than once."""
    runs = collections.Counter(run.request for run in record.runs)
    for request in record.requests:
        if not request.may_repeat and runs[request.name] > 1:
            yield f'{request.name} ran {runs[request.name]} times'


def check_refused(record: history.History) -> abc.Iterator[str]:
    """Yield requests that have run although the answer says otherwise."""
    runs = {run.request for run in record.runs}
    for request in record.requests:
        is_final = request.is_not_run and not request.may_repeat
        if is_final and request.name in runs:
            yield f'{request.name} ran'


def check_mixed(record: history.History) -> abc.Iterator[str]:
    """Yield answers that look complete and are not those of the request."""
    runs = {(run.request, f'sig.{run.worker}') for run in record.runs}
    for request in record.requests:
        if request.is_served and not _is_whole(request):
            yield f'{request.name} got {request.body[:60]!r}'
        elif (
            request.is_served and (request.name, request.signature) not in runs
        ):
            yield f'{request.name} bears {request.signature}'


def check_drain(record: history.History) -> abc.Iterator[str]:
    """Yield requests to workers that said long before that they leave."""
    informed_at: dict[tuple[str, str], float] = {}
    for notice in record.notices:
        if notice.is_leaving:
            informed_at.setdefault((notice.worker, notice.entry), notice.at)
    sent_at = {request.name: request.sent_at for request in record.requests}
    for arrival in record.arrivals:
        informed = informed_at.get(
            (arrival.worker, arrival.entry), float('inf')
        )
        is_known = not any(
            informed <= end < arrival.at for end in record.all_ended_at
        )
        if is_known and sent_at.get(arrival.request, 0) > informed + DRAIN_S:
            yield f'{arrival.request} reached {arrival.worker}'


def check_stored_drain(record: history.History) -> abc.Iterator[str]:
    """Yield requests to workers that drained long before in the store."""
    drained_at = dict(record.drains)
    for arrival in record.arrivals:
        at = drained_at.get(arrival.worker, float('inf'))
        is_late = arrival.at > at + STORED_DRAIN_S
        if is_late and _follows_store(record, arrival.entry, arrival.at):
            yield f'{arrival.request} of {arrival.entry} at {arrival.at:.2f} s'


def check_config(record: history.History) -> abc.Iterator[str]:
    """Yield requests that were denied by an older configuration."""
    for request in record.requests:
        added_at = record.routes.get(request.path_prefix, float('inf'))
        is_denied = request.status == NOT_FOUND
        is_late = request.sent_at > added_at + CONFIG_S
        if (
            is_denied
            and is_late
            and _follows_store(record, request.entry, request.sent_at)
        ):
            yield f'{request.name} at {request.entry}'


def check_retries(record: history.History) -> abc.Iterator[str]:
    """Yield windows with too many repeated arrivals of requests."""
    seen: set[str] = set()
    repeats = []
    for arrival in record.arrivals:
        if arrival.request in seen:
            repeats.append(arrival.at)
        seen.add(arrival.request)
    sent = sorted(request.sent_at for request in record.requests)
    for start in repeats:
        end = start + RETRY_WINDOW_S
        count = sum(start <= at < end for at in repeats)
        asked = max(
            sum(first <= at < first + RETRY_WINDOW_S for at in sent)
            for first in (start, start - RETRY_WINDOW_S / 2)
        )
        if count > RETRY_RATIO * asked + RETRY_SLACK:
            yield f'{count} repeats for {asked} requests'
            return


def check_final_answer(record: history.History) -> abc.Iterator[str]:
    """Yield requests without a final answer soon after their deadline."""
    for request in record.requests:
        due_at = request.sent_at + request.deadline_s + FINAL_ANSWER_S
        is_late = request.ended_at is None or request.ended_at > due_at
        if is_late and record.is_in_touch(
            request.entry, request.sent_at, due_at
        ):
            yield f'{request.name} at {request.entry}'


def _follows_store(record: history.History, entry: str, at: float) -> bool:
    """Return whether neither an entry nor the store was disturbed."""
    return all(record.is_in_touch(name, at) for name in (entry, history.STORE))


def _is_owed(asked: quota_rule.Asked, request: history.Request) -> bool:
    is_over_quota = request.status == OVER_QUOTA and asked.is_too_much(
        request.organisation, request.sent_at
    )
    return request.is_first_try and not is_over_quota


def _is_cut(record: history.History, entry: str, at: float) -> bool:
    return any(
        entry in span.names and span.started_at <= at < span.ended_at
        for span in record.cuts
    )


def _is_any_connected(record: history.History, at: float) -> bool:
    entries = {request.entry for request in record.requests}
    entries.discard(history.GONE)
    entries -= {name for name, end in record.lost_at.items() if end <= at}
    return any(not _is_cut(record, entry, at) for entry in entries)


def _find_informed(
    record: history.History, worker: str, span: history.Span
) -> dict[str, float]:
    informed_at: dict[str, float] = {}
    for notice in record.notices:
        is_meant = notice.worker == worker and notice.limit_per_s is not None
        if is_meant and notice.at >= span.started_at:
            informed_at.setdefault(notice.entry, notice.at + NOTICE_S)
    return informed_at


def _count_worst(times: list[float], window_s: float) -> int:
    return max(
        (sum(0 <= at - start < window_s for at in times) for start in times),
        default=0,
    )


def _measure_served(requests: list[history.Request]) -> float:
    return sum(request.is_served for request in requests) / len(requests)


def _is_whole(request: history.Request) -> bool:
    if not request.is_stream:
        return request.body.endswith(request.name.encode())
    events = EVENT.findall(request.body)
    numbers = [int(number) for number, _ in events]
    is_ordered = numbers == list(range(1, len(numbers) + 1))
    return is_ordered and bool(numbers) and EVENT.sub(b'', request.body) == b''


def check_one(record: history.History) -> abc.Iterator[str]:
    """Yield calls to the cloud that came after those of a later holder."""
    last: dict[tuple[str, ...], history.Call] = {}
    for call in record.calls:
        before = last.setdefault(call.subject, call)
        if call.token < before.token:
            yield f'{call} after {before}'
        else:
            last[call.subject] = call


RULES: tuple[Rule, ...] = (
    check_limit,
    check_falls,
    check_recover,
    check_twice,
    check_refused,
    check_mixed,
    check_drain,
    check_stored_drain,
    check_config,
    check_retries,
    check_final_answer,
    check_one,
    quota_rule.check_quota,
)
