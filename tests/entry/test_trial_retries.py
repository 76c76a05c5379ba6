"""Retries after failures of a version on trial.

The retry must use the stable version, and must not use up the retry budget of
other requests.
"""

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
    deployment = system.System()
    deployment.add_engine('llm-0', 'llm')
    deployment.add_engine('llm-1', 'llm', versions=('v1', 'v2'))
    deployment.add_entry('entry-0', control=False)
    note = NOTE.format(name='one') + '[upstream llm]\n'
    deployment.apply(note + deployment.make_organisation_note('org'))
    deployment.world.run(4)
    for engine in deployment.engines.values():
        engine.faults['v2'] = faults.VersionFault('fail')
    return deployment


def always_choose_trial(deployment, monkeypatch):
    entry = deployment.entries['entry-0'].entry
    chosen = []

    def choose(spec, avoided=''):
        version = 'v1' if avoided == 'v2' else 'v2'
        chosen.append(version)
        return version

    monkeypatch.setattr(entry, 'choose_version', choose)
    entry.get_trial('llm').version = 'v2'
    return chosen


def test_a_retry_uses_the_stable_version(deployed, monkeypatch):
    chosen = always_choose_trial(deployed, monkeypatch)
    call = deployed.send('entry-0', '/v1/completions', BODY, 'org')
    deployed.world.run(5)

    assert chosen == ['v2', 'v1']
    assert call.status == 200
    assert call.is_complete


def test_retries_of_a_trial_do_not_use_the_retry_budget(deployed, monkeypatch):
    always_choose_trial(deployed, monkeypatch)
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
