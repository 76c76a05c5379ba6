"""A failure of a version on trial costs its caller nothing."""

import pytest

from citronjunction.standins import faults
from citronjunction.verdicts import models as verdicts
from tests.support import system

NOTE = """
[note]
id = {name}
"""
BODY = {'model': 'llm', 'prompt': 'x', 'max_tokens': 4}


@pytest.fixture
def deployed():
    held = system.System()
    held.add_engine('llm-0', 'llm')
    held.add_engine('llm-1', 'llm', versions=('v1', 'v2'))
    held.add_entry('entry-0', control=False)
    note = NOTE.format(name='one') + '[upstream llm]\n'
    held.apply(note + held.make_organisation_note('org'))
    held.world.run(4)
    for engine in held.engines.values():
        engine.faults['v2'] = faults.VersionFault('fail')
    return held


def draw_trial_always(held, monkeypatch):
    entry = held.entries['entry-0'].entry
    drawn = []

    def choose(spec, avoided=''):
        version = 'v1' if avoided == 'v2' else 'v2'
        drawn.append(version)
        return version

    monkeypatch.setattr(entry, 'choose_version', choose)
    entry.get_trial('llm').version = 'v2'
    return drawn


def test_a_repeat_goes_to_the_proven_version(deployed, monkeypatch):
    drawn = draw_trial_always(deployed, monkeypatch)
    call = deployed.send('entry-0', '/v1/completions', BODY, 'org')
    deployed.world.run(5)

    assert drawn == ['v2', 'v1']
    assert call.status == 200
    assert call.is_complete


def test_failures_on_trial_spend_no_retry_of_sound_requests(
    deployed, monkeypatch
):
    draw_trial_always(deployed, monkeypatch)
    entry = deployed.entries['entry-0'].entry
    budget = entry.get_budget('llm')
    budget.available = 0
    budget.retries_per_request = 0.000001
    calls = [
        deployed.send('entry-0', '/v1/completions', BODY, 'org')
        for _ in range(5)
    ]
    deployed.world.run(8)

    assert [call.status for call in calls] == [200] * 5
    assert not any(
        isinstance(call.failure, verdicts.MayHaveRun) for call in calls
    )
