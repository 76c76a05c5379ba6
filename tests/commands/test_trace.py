"""From the id of a failed request to its cause, on lines of a played day."""

import json
import pathlib

import pytest
from typer import testing

from citronjunction.commands import citronctl
from citronjunction.observability import tracing

LOG = str(pathlib.Path(__file__).parent.parent / 'logs' / 'three-requests.log')


def trace(*arguments, **options):
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
def test_the_pages_commands_lead_from_an_id_to_its_cause(request_id, causes):
    result = trace(request_id, LOG)

    assert result.exit_code == 0
    for cause in causes:
        assert cause in result.stdout


def test_a_worker_has_a_story_in_order_of_time():
    result = trace('i-df4168371d', LOG, '--json')

    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert [line['at'] for line in lines] == sorted(
        line['at'] for line in lines
    )
    told = {line['decision'] for line in lines}
    assert {'worker', 'eject', 'worker removed', 'end'} <= told


def test_standard_input_is_read():
    text = pathlib.Path(LOG).read_text('utf-8')

    result = trace('585a604d34736074', '-', input=text)

    assert 'overloaded' in result.stdout


def test_an_unknown_subject_is_an_error():
    assert trace('nothing', LOG).exit_code == 1


def test_other_lines_and_cut_lines_are_passed_over():
    texts = [
        'WARNING: not ours',
        '{"at": 1, "decision": "end", "subject": "x"',
        '  1.5 host-1 {"at": 2, "decision": "end", "subject": "x"}',
        '{"level": "info", "message": "hello"}',
    ]

    story = tracing.trace_subject('x', lambda: texts)

    assert [line['at'] for line in story.lines] == [2]


def test_a_long_story_is_bounded():
    texts = [
        json.dumps({'at': number, 'decision': 'end', 'subject': 'x'})
        for number in range(tracing.MAX_LINES + 5)
    ]

    story = tracing.trace_subject('x', lambda: texts)

    assert len(story.lines) == tracing.MAX_LINES
    assert story.dropped == 5
