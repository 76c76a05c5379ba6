"""Given and when: what is set up and what happens."""

import json

import pytest
from pytest_bdd import given, parsers, when

from citronjunction.standins import faults
from scenarios import story as stories
from tests.support import deployments


@pytest.fixture
def story():
    return stories.Story()


@given(parsers.parse('the {name} deployment with callers'))
def deploy(story, name):
    start(story, deployments.Deployment(name))


@given(
    parsers.parse(
        'the {name} deployment with callers and a host list that lags {lag:d} s'
    )
)
def deploy_with_lag(story, name, lag):
    deployment = deployments.Deployment(name, lag_s=lag)
    start(story, deployment)


def start(story, deployment):
    story.deployment = deployment
    story.record_arrivals()
    deployment.traffic.start()
    deployment.world.run(2)


@given(parsers.parse('version {version} {fault}'))
def break_version(story, version, fault):
    words = fault.split()
    if words[0] == 'fails':
        after = int(words[2]) if len(words) > 1 else 0
        held = faults.VersionFault('fail', after=after)
    else:
        held = faults.VersionFault('slow', slowdown=float(words[1]))
    for engine in story.system.engines.values():
        engine.faults[version] = held


def choose_zones(story, count):
    return story.deployment.plan['zones'][:count]


def reclaim(story, names, notice, partway=None):
    story.reclaimed_at = story.world.now
    for name in names:
        story.noticed[name] = story.world.now
    story.deployment.reclaim(names, notice, partway)


@when(
    parsers.re(
        r"a data centre's workers are reclaimed with (?P<notice>\d+) s of notice$"
    )
)
def reclaim_workers(story, notice):
    (zone,) = choose_zones(story, 1)
    reclaim(story, story.deployment.list_workers(zone), int(notice))


@when(
    parsers.re(
        r"two data centres' workers are reclaimed with (?P<notice>\d+) s of notice$"
    )
)
def reclaim_two(story, notice):
    names = []
    for zone in choose_zones(story, 2):
        names.extend(story.deployment.list_workers(zone))
    reclaim(story, names, int(notice))


@when(
    parsers.re(
        r'a whole data centre is reclaimed with (?P<notice>\d+) s of notice$'
    )
)
def reclaim_zone(story, notice):
    (zone,) = choose_zones(story, 1)
    names = [
        name
        for name, host in story.system.cloud.hosts.items()
        if host.zone == zone
    ]
    reclaim(story, names, int(notice))


@when(parsers.re(r'an entry is reclaimed with (?P<notice>\d+) s of notice$'))
def reclaim_entry(story, notice):
    reclaim(story, ['entry-1'], int(notice))


@when(
    parsers.parse(
        "a data centre's workers are reclaimed with {notice:d} s of notice "
        'and die after {partway:d} s'
    )
)
def reclaim_partway(story, notice, partway):
    (zone,) = choose_zones(story, 1)
    reclaim(story, story.deployment.list_workers(zone), notice, partway)


@when('a model engine dies')
def kill_engine(story):
    alive = [
        name
        for name in story.system.engines
        if story.world.hosts[name].is_alive
    ]
    busiest = max(
        alive, key=lambda name: len(story.system.engines[name].completions)
    )
    story.world.hosts[busiest].kill()


@when('an entry dies')
def kill_entry(story):
    story.dead_entries.append('entry-1')
    story.world.hosts['entry-1'].kill()


@when('the store is down')
def store_down(story):
    store = story.system.store
    store.faults.is_down = True
    for watch in tuple(store.watches):
        watch.abort()
    store.watches.clear()


@when(parsers.parse('the store loses {count:d} answers'))
def store_loses(story, count):
    story.system.store.faults.lost_answers = count


@when(parsers.parse('the store takes {seconds:d} s a call'))
def store_slow(story, seconds):
    story.system.store.faults.delay_s = seconds


@when('the store is well')
def store_well(story):
    faults = story.system.store.faults
    faults.is_down = False
    faults.delay_s = 0
    faults.lost_answers = 0


@when(parsers.parse('{seconds:d} s pass'))
def pass_time(story, seconds):
    story.world.run(seconds)


@when('the callers stop')
def stop_callers(story):
    story.traffic.stop()
    story.world.run(15)


@when('one hold is sent to every entry at once')
def send_one_hold(story):
    for name in story.system.entries:
        call = story.system.send(
            name,
            f'/v1/services/{story.deployment.service}/holds',
            {'order': 'the-same'},
            story.deployment.plan['organisations'][0],
            headers={'Idempotency-Key': 'the-same'},
        )
        story.hold_calls.append(call)


@when('a poisoned question is sent through every entry in turn')
def send_poison(story):
    fault = faults.VersionFault('none', crash_on='poison')
    for engine in story.system.engines.values():
        engine.faults['v1'] = fault
    for name in (*story.system.entries, *story.system.entries):
        call = story.system.complete(
            name,
            story.deployment.engine,
            'poison in the prompt',
            organisation=story.deployment.plan['organisations'][0],
        )
        story.poison.append(call)
        story.world.run(1.5)


@when('two data centres lose the others')
def split(story):
    hosts = story.system.cloud.hosts
    zones = choose_zones(story, 2)
    inside = [name for name, held in hosts.items() if held.zone in zones]
    outside = [name for name in story.world.hosts if name not in inside]
    inside += [f'control-{name}' for name in inside if 'entry' in name]
    story.world.partition(
        inside, [name for name in outside if name not in inside]
    )


@when('the split heals')
def heal(story):
    story.world.heal()


def apply(story, name, text):
    story.system.apply(f'[note]\nid = {name}\n{text}', operation=name)


@when(parsers.parse('an operator adds the organisation {name}'))
def add_organisation(story, name):
    held = story.system.store.store.get('configurations', 'current')
    story.first_configuration = json.loads(json.dumps(held))
    apply(story, f'add-{name}', story.system.make_organisation_note(name))


@when(parsers.parse('an operator withdraws the organisation {name}'))
def withdraw_organisation(story, name):
    apply(
        story, f'withdraw-{name}', f'[organisation {name}]\naction = withdraw\n'
    )


@when(
    parsers.parse(
        'an operator adds version {version} with a deadline of {seconds:d} s'
    )
)
def add_version(story, version, seconds):
    text = f'[version {story.deployment.engine} {version}]\ndeadline = {seconds}s\n'
    apply(story, f'add-{version}', text)


@when(parsers.parse('the trial of {version} begins'))
def await_trial(story, version):
    assert story.world.run_until(
        lambda: (stories.get_move(story, version) or {}).get('state') == 'trial'
    )


@when('a new entry starts')
def start_entry(story):
    story.system.add_entry('entry-new', choose_zones(story, 1)[0])


@when('the store goes back to the first revision')
def revert_store(story):
    store = story.system.store
    store.store.objects[('configurations', 'current')] = (
        story.first_configuration
    )
    store._notify('configurations', story.first_configuration)


def find_holder(story):
    owner = f'upstream-{story.deployment.engine}'
    for name, control in story.system.controls.items():
        held = control.owners.get(owner)
        if held is not None and held.lease_client.is_held():
            return name
    raise AssertionError('nobody holds the lease')


@when('the process that holds the lease is killed')
def kill_holder(story):
    story.world.hosts[f'control-{find_holder(story)}'].kill()


@when(
    parsers.parse(
        'the process that holds the lease is paused for {seconds:d} s'
    )
)
def pause_holder(story, seconds):
    story.world.hosts[f'control-{find_holder(story)}'].pause(seconds)
