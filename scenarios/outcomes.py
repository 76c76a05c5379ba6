"""Steps "then": the checks of the scenarios."""

from pytest_bdd import parsers, then

from scenarios import context as contexts
from tests.support import virtual


@then('every accepted request is answered whole')
def all_answered(context):
    assert len(context.traffic.holds) > 20
    failed = [
        hold.outcome
        for hold in context.traffic.holds
        if hold.outcome != 'answered'
    ]
    assert not failed
    streams_whole(context)


@then('every stream is answered whole')
def streams_whole(context):
    assert len(context.traffic.streams) > 20
    failed = [
        (stream.outcome, len(stream.tokens), stream.max_tokens)
        for stream in context.traffic.streams
        if not stream.is_complete
    ]
    assert not failed


@then('no hold ran twice')
def no_hold_twice(context):
    runs = context.deployment.count_runs_per_hold()
    assert runs
    assert {body: count for body, count in runs.items() if count > 1} == {}


@then(parsers.parse('leaving workers got no new work after {seconds:d} s'))
def no_new_work(context, seconds):
    late = [
        (at - context.noticed_at[name], name)
        for at, name, _ in context.arrivals
        if name in context.noticed_at
        and at > context.noticed_at[name] + seconds
    ]
    assert not late


@then('every caller of a dead entry saw that its stream was cut')
def cut_is_seen(context):
    for stream in context.traffic.streams:
        assert stream.is_complete or stream.outcome.startswith('cut')


@then('the hold ran once and every sender has the same answer')
def same_answer(context):
    runs = context.deployment.count_runs_per_hold()
    assert runs['{"order": "the-same"}'] == 1
    assert {call.status for call in context.hold_calls} == {200}
    assert len({bytes(call.body) for call in context.hold_calls}) == 1


@then(parsers.parse('at most {count:d} workers crashed'))
def few_crashes(context, count):
    dead = [
        name
        for name in context.system.engines
        if not context.world.hosts[name].is_alive
    ]
    assert 1 <= len(dead) <= count
    assert all(call.is_over for call in context.poison_calls)


@then(
    parsers.parse(
        'the configuration is in force on every entry within {seconds:d} s'
    )
)
def in_force(context, seconds):
    current = context.system.store.store.objects[('configurations', 'current')]
    revision = current['spec']['revision']

    def is_in_force():
        return all(
            node.entry.configuration_cache.current.revision == revision
            for node in context.system.entries.values()
        )

    assert context.world.run_until(is_in_force, seconds)


@then('no entry goes back to the first revision')
def no_revert(context):
    for node in context.system.entries.values():
        assert node.entry.configuration_cache.current.revision == 2


@then(parsers.parse('the move to {version} is done in time'))
def move_done(context, version):
    move = contexts.get_move(context, version)
    assert move['state'] == 'done', move
    assert move['finished_at'] <= move['deadline_at']


@then(parsers.parse('the move to {version} is taken back'))
def move_taken_back(context, version):
    move = contexts.get_move(context, version)
    assert move['state'] == 'taken back', move


def assert_withdrawn_everywhere(context, version):
    withdrawals = [
        node.entry.withdrawn.get(context.deployment.engine, {}).get(version)
        for node in context.system.entries.values()
    ]
    assert all(withdrawals)


@then(
    parsers.parse(
        'at most {percent:d} percent of requests went to {version} before that'
    )
)
def small_share(context, percent, version):
    move = contexts.get_move(context, version)
    end = move['finished_at'] - virtual.WALL_TIME_OFFSET_S
    start_at = move['started_at'] - virtual.WALL_TIME_OFFSET_S
    arrived = [
        arrived_version
        for at, _, arrived_version in context.arrivals
        if start_at <= at <= end
    ]
    assert arrived.count(version) <= max(6, len(arrived) * percent / 100)


@then(
    parsers.parse(
        '{version} got no request {seconds:d} s after its fault showed'
    )
)
def no_requests_after(context, version, seconds):
    assert_withdrawn_everywhere(context, version)
    withdrawn_at = min(
        line['at'] - virtual.WALL_TIME_OFFSET_S
        for node in context.system.entries.values()
        for line in node.entry.log.recent_lines
        if line['decision'] == 'withdraw version'
    )
    late = [
        at
        for at, _, arrived_version in context.arrivals
        if arrived_version == version and at > withdrawn_at + seconds
    ]
    assert not late


@then('statuses were only written under rising epochs')
def rising_epochs(context):
    status = context.system.get_status(f'upstream-{context.deployment.engine}')
    lease = context.system.store.store.objects[
        ('leases', f'upstream-{context.deployment.engine}')
    ]
    assert status['epoch'] <= lease['spec']['epoch']
    assert lease['spec']['epoch'] >= 2


@then(parsers.parse('the organisation {name} is refused on every entry'))
def refused_everywhere(context, name):
    calls = [
        context.system.complete(
            entry, context.deployment.engine, 'x', organisation=name
        )
        for entry in context.system.entries
    ]
    context.world.run(2)
    assert {call.status for call in calls} == {401}
