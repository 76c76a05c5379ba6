"""Promises checked on what callers and workers saw."""

import collections
import re

from citronjunction.verdicts import http
from soak import callers, faults, system

OK = 200
EVENT = re.compile(rb'id: (\d+)\ndata: t(\d+)\n\n')
LATE_S = 1.0  # past the deadline; covers pauses of the soak's own process


def check(traffic: callers.Traffic) -> list[str]:
    """Return the promises that were broken, with the request or worker."""
    runs = count_runs(traffic.system)
    broken = []
    for request in traffic.requests:
        broken.extend(
            f'{request.name} at {request.address}: {text}'
            for text in check_request(request, runs[request.name])
        )
    broken.extend(check_usage(traffic.system))
    return broken


def count_runs(held: system.System) -> collections.Counter[str]:
    """Return how often workers ran each request."""
    return collections.Counter(
        run.headers['attempt-id']
        for worker in held.list_workers()
        for run in worker.runs
    )


def check_request(request: callers.Request, runs: int) -> list[str]:
    """Return what is wrong with how a request was handled."""
    broken = []
    if request.kind == 'unsafe' and runs > 1:
        broken.append(f'an unsafe request ran {runs} times')
    verdict = request.headers.get(http.VERDICT_HEADER.lower())
    if verdict == http.NOT_RUN and runs:
        broken.append(f'told not to have run, though it ran {runs} times')
    if request.status == OK and request.is_complete:
        broken.extend(check_answer(request, runs))
    return broken


def check_answer(request: callers.Request, runs: int) -> list[str]:
    """Return what is wrong with a whole answer."""
    if not runs:
        return ['answered without a run']
    if request.kind == 'stream':
        events = EVENT.findall(request.body)
        if events != [(b'1', b'1'), (b'2', b'2'), (b'3', b'3')]:
            return [f'events {events}']
    elif not request.body.endswith(f'/{request.kind}/{request.name}'.encode()):
        return [f'answer of another request: {request.body[:80]!r}']
    return []


def check_times(
    traffic: callers.Traffic,
    pauses: list[faults.Pause],
) -> list[str]:
    """Return the requests that were held past their deadline.

    A stopped process answers nobody; the time that it was stopped is allowed.
    """
    late = []
    for request in traffic.requests:
        if not request.ended_at or not request.status:
            continue
        held_s = request.ended_at - request.sent_at
        allowed_s = callers.DEADLINE_S + LATE_S
        allowed_s += sum(measure_overlap(request, pause) for pause in pauses)
        if held_s > allowed_s:
            late.append(
                f'{request.name} at {request.address}: held {held_s:.2f} s,'
                f' allowed {allowed_s:.2f} s',
            )
    return late


def measure_overlap(request: callers.Request, pause: faults.Pause) -> float:
    """Return for how long the request met a stopped process."""
    if request.address != pause.address:
        return 0
    began_at = max(request.sent_at, pause.began_at)
    return max(0, min(request.ended_at, pause.ended_at) - began_at)


def check_usage(held: system.System) -> list[str]:
    """Return the windows of usage that were reported in two ways."""
    return [
        f'usage of window {window} reported as {reports}'
        for window, reports in held.cloud.group_usage().items()
        if any(counts != reports[0] for counts in reports)
    ]
