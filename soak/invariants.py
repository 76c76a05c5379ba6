"""Invariants, checked on the records of callers, workers and the cloud API."""

import collections
import re

from citronjunction.verdicts import http
from soak import callers, faults, system

OK = 200
EVENT = re.compile(rb'id: (\d+)\ndata: t(\d+)\n\n')
ANSWER_SLACK_S = 1.0  # past the deadline; covers delays in the soak's process


def check(traffic: callers.Traffic) -> list[str]:
    """Return a text for each violation, with its request or usage window."""
    runs = count_runs(traffic.system)
    violations = []
    for request in traffic.requests:
        violations.extend(
            f'{request.name} at {request.address}: {text}'
            for text in check_request(request, runs[request.name])
        )
    violations.extend(check_usage(traffic.system))
    return violations


def count_runs(target: system.System) -> collections.Counter[str]:
    """Count the runs of each request on all workers."""
    return collections.Counter(
        run.headers['attempt-id']
        for worker in target.list_workers()
        for run in worker.runs
    )


def check_request(request: callers.Request, runs: int) -> list[str]:
    """Return the violations by a request that workers ran ``runs`` times."""
    violations = []
    if request.kind == 'unsafe' and runs > 1:
        violations.append(f'an unsafe request ran {runs} times')
    verdict = request.headers.get(http.VERDICT_HEADER.lower())
    if verdict == http.NOT_RUN and runs:
        violations.append(f'verdict says not-run, though it ran {runs} times')
    if request.status == OK and request.is_complete:
        violations.extend(check_answer(request, runs))
    return violations


def check_answer(request: callers.Request, runs: int) -> list[str]:
    """Return the violations by a complete answer."""
    if not runs:
        return ['answered, though no worker ran it']
    if request.kind == 'stream':
        events = EVENT.findall(request.body)
        if events != [(b'1', b'1'), (b'2', b'2'), (b'3', b'3')]:
            return [f'expected events 1 to 3, received {events}']
    elif not request.body.endswith(f'/{request.kind}/{request.name}'.encode()):
        return [f'answer of another request: {request.body[:80]!r}']
    return []


def check_deadlines(
    traffic: callers.Traffic,
    pauses: list[faults.Pause],
) -> list[str]:
    """Return a text for each request that was answered too late.

    An entry that SIGSTOP paused cannot answer, so the time that a request
    waited for it is allowed on top of the deadline.
    """
    late = []
    for request in traffic.requests:
        if not request.ended_at or not request.status:
            continue
        duration_s = request.ended_at - request.sent_at
        allowed_s = callers.DEADLINE_S + ANSWER_SLACK_S
        allowed_s += sum(measure_overlap(request, pause) for pause in pauses)
        if duration_s > allowed_s:
            late.append(
                f'{request.name} at {request.address}: answered after'
                f' {duration_s:.2f} s, allowed {allowed_s:.2f} s',
            )
    return late


def measure_overlap(request: callers.Request, pause: faults.Pause) -> float:
    """Return for how long a request waited for a paused entry; seconds."""
    if request.address != pause.address:
        return 0
    started_at = max(request.sent_at, pause.started_at)
    return max(0, min(request.ended_at, pause.ended_at) - started_at)


def check_usage(target: system.System) -> list[str]:
    """Return the usage windows whose reports differ from each other."""
    return [
        f'usage of window {window} was reported as {reports}'
        for window, reports in target.cloud.group_usage().items()
        if any(counts != reports[0] for counts in reports)
    ]
