"""Then: what must hold."""

from pytest_bdd import parsers, then

from scenarios import story as stories
from tests.support import virtual


@then('every accepted request is answered whole')
def all_answered(story):
    assert len(story.traffic.holds) > 20
    bad = [
        held.outcome
        for held in story.traffic.holds
        if held.outcome != 'answered'
    ]
    assert not bad
    streams_whole(story)


@then('every stream is answered whole')
def streams_whole(story):
    assert len(story.traffic.streams) > 20
    bad = [
        (held.outcome, len(held.tokens), held.max_tokens)
        for held in story.traffic.streams
        if not held.is_complete
    ]
    assert not bad


@then('no hold ran twice')
def no_hold_twice(story):
    runs = story.deployment.count_runs_per_hold()
    assert runs
    assert {body: count for body, count in runs.items() if count > 1} == {}


@then(parsers.parse('leaving workers got no new work after {seconds:d} s'))
def no_new_work(story, seconds):
    late = [
        (at - story.noticed[name], name)
        for at, name, _ in story.arrivals
        if name in story.noticed and at > story.noticed[name] + seconds
    ]
    assert not late


@then('every caller of a dead entry saw that its stream was cut')
def cut_is_seen(story):
    for held in story.traffic.streams:
        assert held.is_complete or held.outcome.startswith('cut')


@then('the hold ran once and every sender has the same answer')
def same_answer(story):
    runs = story.deployment.count_runs_per_hold()
    assert runs['{"order": "the-same"}'] == 1
    assert {call.status for call in story.hold_calls} == {200}
    assert len({bytes(call.body) for call in story.hold_calls}) == 1


@then(parsers.parse('at most {count:d} workers crashed'))
def few_crashes(story, count):
    dead = [
        name
        for name in story.system.engines
        if not story.world.hosts[name].is_alive
    ]
    assert 1 <= len(dead) <= count
    assert all(call.is_over for call in story.poison)


@then(
    parsers.parse(
        'the configuration is in force on every entry within {seconds:d} s'
    )
)
def in_force(story, seconds):
    held = story.system.store.store.objects[('configurations', 'current')]
    wanted = held['spec']['revision']

    def is_in_force():
        return all(
            held.entry.configuration_cache.current.revision == wanted
            for held in story.system.entries.values()
        )

    assert story.world.run_until(is_in_force, seconds)


@then('no entry goes back to the first revision')
def no_revert(story):
    for held in story.system.entries.values():
        assert held.entry.configuration_cache.current.revision == 2


@then(parsers.parse('the move to {version} is done in time'))
def move_done(story, version):
    move = stories.get_move(story, version)
    assert move['state'] == 'done', move
    assert move['finished_at'] <= move['deadline_at']


@then(parsers.parse('the move to {version} is taken back'))
def move_taken_back(story, version):
    move = stories.get_move(story, version)
    assert move['state'] == 'taken back', move


def find_withdrawal(story, version):
    marks = [
        held.entry.withdrawn.get(story.deployment.engine, {}).get(version)
        for held in story.system.entries.values()
    ]
    assert all(marks)


@then(
    parsers.parse(
        'at most {percent:d} percent of requests went to {version} before that'
    )
)
def small_share(story, percent, version):
    move = stories.get_move(story, version)
    end = move['finished_at'] - virtual.WALL_TIME_OFFSET_S
    start_at = move['started_at'] - virtual.WALL_TIME_OFFSET_S
    seen = [got for at, _, got in story.arrivals if start_at <= at <= end]
    assert seen.count(version) <= max(6, len(seen) * percent / 100)


@then(
    parsers.parse(
        '{version} got no request {seconds:d} s after its fault showed'
    )
)
def no_requests_after(story, version, seconds):
    find_withdrawal(story, version)
    shown = min(
        line['at'] - virtual.WALL_TIME_OFFSET_S
        for held in story.system.entries.values()
        for line in held.entry.log.recent_lines
        if line['decision'] == 'withdraw version'
    )
    late = [
        at
        for at, _, got in story.arrivals
        if got == version and at > shown + seconds
    ]
    assert not late


@then('statuses were only written under rising epochs')
def rising_epochs(story):
    status = story.system.get_status(f'upstream-{story.deployment.engine}')
    lease = story.system.store.store.objects[
        ('leases', f'upstream-{story.deployment.engine}')
    ]
    assert status['epoch'] <= lease['spec']['epoch']
    assert lease['spec']['epoch'] >= 2


@then(parsers.parse('the organisation {name} is refused on every entry'))
def refused_everywhere(story, name):
    calls = [
        story.system.complete(
            entry, story.deployment.engine, 'x', organisation=name
        )
        for entry in story.system.entries
    ]
    story.world.run(2)
    assert {call.status for call in calls} == {401}
