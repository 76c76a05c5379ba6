"""Trace failed requests of a recorded run to their causes.

The commands are those that the documentation shows.
"""

import json
import pathlib

import pytest
from typer import testing

from citronjunction.commands import citronctl
from citronjunction.observability import tracing

LOG = str(pathlib.Path(__file__).parent.parent / 'logs' / 'three-requests.log')


def run_trace(*arguments, **options):
    return testing.CliRunner().invoke(
        citronctl.app, ['trace', *arguments], **options
    )


@pytest.mark.parametrize(
    ('request_id', 'causes'),
    [
        ('585a604d34736074', ['overloaded', 'prompts wait 0.54 s']),
        (
            '3473275133448545',
            ['i-b8412a492b', 'state=draining', 'connection_lost', 'is_started'],
        ),
        (
            'a87a7ae850bef588',
            ['i-df4168371d', 'connection_lost', 'status=502', 'sends=1'],
        ),
    ],
)
def test_trace_of_a_request_shows_the_cause_of_its_failure(request_id, causes):
    result = run_trace(request_id, LOG)

    assert result.exit_code == 0
    for cause in causes:
        assert cause in result.stdout


def test_trace_of_a_worker_is_ordered_by_time():
    result = run_trace('i-df4168371d', LOG, '--json')

    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert [line['at'] for line in lines] == sorted(
        line['at'] for line in lines
    )
    decisions = {line['decision'] for line in lines}
    assert {'worker', 'eject', 'worker removed', 'end'} <= decisions


def test_trace_reads_standard_input():
    text = pathlib.Path(LOG).read_text('utf-8')

    result = run_trace('585a604d34736074', '-', input=text)

    assert 'overloaded' in result.stdout


def test_trace_of_an_unknown_subject_fails():
    assert run_trace('nothing', LOG).exit_code == 1


def test_trace_ignores_foreign_and_truncated_lines():
    texts = [
        'WARNING: not ours',
        '{"at": 1, "decision": "end", "subject": "x"',
        '  1.5 host-1 {"at": 2, "decision": "end", "subject": "x"}',
        '{"level": "info", "message": "hello"}',
    ]

    trace = tracing.trace_subject('x', lambda: texts)

    assert [line['at'] for line in trace.lines] == [2]


def test_trace_limits_the_number_of_lines():
    texts = [
        json.dumps({'at': number, 'decision': 'end', 'subject': 'x'})
        for number in range(tracing.MAX_LINES + 5)
    ]

    trace = tracing.trace_subject('x', lambda: texts)

    assert len(trace.lines) == tracing.MAX_LINES
    assert trace.dropped == 5
