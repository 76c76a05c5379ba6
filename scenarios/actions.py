"""Steps "given" and "when": deployments, faults and release notes."""

import json

import pytest
from pytest_bdd import given, parsers, when

from citronjunction.standins import faults
from scenarios import context as contexts
from tests.support import deployments


@pytest.fixture
def context():
    return contexts.Context()


@given(parsers.parse('the {name} deployment with callers'))
def deploy(context, name):
    start(context, deployments.Deployment(name))


@given(
    parsers.parse(
        'the {name} deployment with callers and a host list that lags {lag:d} s'
    )
)
def deploy_with_lag(context, name, lag):
    deployment = deployments.Deployment(name, lag_s=lag)
    start(context, deployment)


def start(context, deployment):
    context.deployment = deployment
    context.record_arrivals()
    deployment.traffic.start()
    deployment.world.run(2)


@given(parsers.parse('version {version} {fault}'))
def break_version(context, version, fault):
    words = fault.split()
    if words[0] == 'fails':
        after = int(words[2]) if len(words) > 1 else 0
        version_fault = faults.VersionFault('fail', after=after)
    else:
        version_fault = faults.VersionFault('slow', slowdown=float(words[1]))
    for engine in context.system.engines.values():
        engine.faults[version] = version_fault


def choose_zones(context, count):
    return context.deployment.plan['zones'][:count]


def reclaim(context, names, notice, partway=None):
    context.reclaimed_at = context.world.now
    for name in names:
        context.noticed_at[name] = context.world.now
    context.deployment.reclaim(names, notice, partway)


@when(
    parsers.re(
        r"a data centre's workers are reclaimed with (?P<notice>\d+) s of notice$"
    )
)
def reclaim_workers(context, notice):
    (zone,) = choose_zones(context, 1)
    reclaim(context, context.deployment.list_workers(zone), int(notice))


@when(
    parsers.re(
        r"two data centres' workers are reclaimed with (?P<notice>\d+) s of notice$"
    )
)
def reclaim_two(context, notice):
    names = []
    for zone in choose_zones(context, 2):
        names.extend(context.deployment.list_workers(zone))
    reclaim(context, names, int(notice))


@when(
    parsers.re(
        r'a whole data centre is reclaimed with (?P<notice>\d+) s of notice$'
    )
)
def reclaim_zone(context, notice):
    (zone,) = choose_zones(context, 1)
    names = [
        name
        for name, host in context.system.cloud.hosts.items()
        if host.zone == zone
    ]
    reclaim(context, names, int(notice))


@when(parsers.re(r'an entry is reclaimed with (?P<notice>\d+) s of notice$'))
def reclaim_entry(context, notice):
    reclaim(context, ['entry-1'], int(notice))


@when(
    parsers.parse(
        "a data centre's workers are reclaimed with {notice:d} s of notice "
        'and die after {partway:d} s'
    )
)
def reclaim_partway(context, notice, partway):
    (zone,) = choose_zones(context, 1)
    reclaim(context, context.deployment.list_workers(zone), notice, partway)


@when('a model engine dies')
def kill_engine(context):
    alive = [
        name
        for name in context.system.engines
        if context.world.hosts[name].is_alive
    ]
    busiest = max(
        alive, key=lambda name: len(context.system.engines[name].completions)
    )
    context.world.hosts[busiest].kill()


@when('an entry dies')
def kill_entry(context):
    context.dead_entries.append('entry-1')
    context.world.hosts['entry-1'].kill()


@when('the store is down')
def stop_store(context):
    store = context.system.store
    store.faults.is_down = True
    for watch in tuple(store.watches):
        watch.abort()
    store.watches.clear()


@when(parsers.parse('the store loses {count:d} answers'))
def lose_store_answers(context, count):
    context.system.store.faults.lost_answers = count


@when(parsers.parse('the store takes {seconds:d} s a call'))
def slow_store(context, seconds):
    context.system.store.faults.delay_s = seconds


@when('the store is well')
def restore_store(context):
    store_faults = context.system.store.faults
    store_faults.is_down = False
    store_faults.delay_s = 0
    store_faults.lost_answers = 0


@when(parsers.parse('{seconds:d} s pass'))
def pass_time(context, seconds):
    context.world.run(seconds)


@when('the callers stop')
def stop_callers(context):
    context.traffic.stop()
    context.world.run(15)


@when('one hold is sent to every entry at once')
def send_one_hold(context):
    for name in context.system.entries:
        call = context.system.send(
            name,
            f'/v1/services/{context.deployment.service}/holds',
            {'order': 'the-same'},
            context.deployment.plan['organisations'][0],
            headers={'Idempotency-Key': 'the-same'},
        )
        context.hold_calls.append(call)


@when('a poisoned question is sent through every entry in turn')
def send_poison(context):
    fault = faults.VersionFault('none', crash_on='poison')
    for engine in context.system.engines.values():
        engine.faults['v1'] = fault
    for name in (*context.system.entries, *context.system.entries):
        call = context.system.complete(
            name,
            context.deployment.engine,
            'poison in the prompt',
            organisation=context.deployment.plan['organisations'][0],
        )
        context.poison_calls.append(call)
        context.world.run(1.5)


@when('two data centres lose the others')
def split(context):
    hosts = context.system.cloud.hosts
    zones = choose_zones(context, 2)
    inside = [name for name, host in hosts.items() if host.zone in zones]
    outside = [name for name in context.world.hosts if name not in inside]
    inside += [f'control-{name}' for name in inside if 'entry' in name]
    context.world.partition(
        inside, [name for name in outside if name not in inside]
    )


@when('the split heals')
def heal(context):
    context.world.heal()


def apply(context, name, text):
    context.system.apply(f'[note]\nid = {name}\n{text}', operation=name)


@when(parsers.parse('an operator adds the organisation {name}'))
def add_organisation(context, name):
    current = context.system.store.store.get('configurations', 'current')
    context.first_configuration = json.loads(json.dumps(current))
    apply(context, f'add-{name}', context.system.make_organisation_note(name))


@when(parsers.parse('an operator withdraws the organisation {name}'))
def withdraw_organisation(context, name):
    apply(
        context,
        f'withdraw-{name}',
        f'[organisation {name}]\naction = withdraw\n',
    )


@when(
    parsers.parse(
        'an operator adds version {version} with a deadline of {seconds:d} s'
    )
)
def add_version(context, version, seconds):
    text = (
        f'[version {context.deployment.engine} {version}]\n'
        f'deadline = {seconds}s\n'
    )
    apply(context, f'add-{version}', text)


@when(parsers.parse('the trial of {version} begins'))
def await_trial(context, version):
    assert context.world.run_until(
        lambda: (
            (contexts.get_move(context, version) or {}).get('state') == 'trial'
        )
    )


@when('a new entry starts')
def start_entry(context):
    context.system.add_entry('entry-new', choose_zones(context, 1)[0])


@when('the store goes back to the first revision')
def revert_store(context):
    store = context.system.store
    store.store.objects[('configurations', 'current')] = (
        context.first_configuration
    )
    store._notify('configurations', context.first_configuration)


def find_holder(context):
    owner = f'upstream-{context.deployment.engine}'
    for name, control in context.system.controls.items():
        lease_owner = control.owners.get(owner)
        if lease_owner is not None and lease_owner.lease_client.is_held():
            return name
    raise AssertionError('no control process holds the lease')


@when('the process that holds the lease is killed')
def kill_holder(context):
    context.world.hosts[f'control-{find_holder(context)}'].kill()


@when(
    parsers.parse(
        'the process that holds the lease is paused for {seconds:d} s'
    )
)
def pause_holder(context, seconds):
    context.world.hosts[f'control-{find_holder(context)}'].pause(seconds)
