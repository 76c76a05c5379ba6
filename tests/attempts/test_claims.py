"""At most once: claims of idempotency keys under lost answers and crashes."""

from hypothesis import settings, stateful
from hypothesis import strategies as st

from citronjunction.attempts import claims
from citronjunction.store import models as store_models
from citronjunction.verdicts import models as verdicts

FINGERPRINT = 7


class FakeStore:
    """Hold one object; writes can be delayed or lose their answer."""

    def __init__(self):
        self.version = 0
        self.spec = None
        self.delayed = []

    def put(self, spec, expected):
        current = str(self.version) if self.version else ''
        if expected != current:
            return store_models.Conflict()
        self.version += 1
        self.spec = spec
        return self.get()

    def get(self):
        if not self.version:
            return store_models.Absent()
        held = store_models.StoredObject(
            'claims', 'k', str(self.version), self.spec
        )
        return store_models.Stored(held)


class Sender:
    """Drive one claim as an entry does."""

    def __init__(self, world, number):
        self.world = world
        record = claims.ClaimRecord(
            FINGERPRINT, f'e{number}', 1, f'op{number}', 0
        )
        self.claim = claims.Claim(record, 100, world.is_alive)
        self.name = f'e{number}'
        self.action = self.claim.start()
        self.outcome = None
        self.ran = False

    def advance(self, fault):
        action = self.action
        match action:
            case claims.WriteClaim(record=record, expected=expected):
                spec = claims.encode_record(record)
                result = self.world.write(spec, expected, fault)
                self.action = self.claim.on_write(result, self.world.now)
            case claims.ReadClaim():
                result = self.world.store.get()
                if fault == 'down':
                    result = store_models.Unknown('down')
                self.action = self.claim.on_read(result, self.world.now)
            case claims.Run():
                self.ran = True
                self.world.runs += 1
                self.action = 'running'
            case _:
                self.outcome = action


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Any number of resends, at any entries, with any faults of the store."""

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.senders = []
        self.dead = set()
        self.runs = 0
        self.now = 0.0
        self.answers = set()

    def is_alive(self, name, incarnation):
        return name not in self.dead

    def write(self, spec, expected, fault):
        match fault:
            case 'refused':
                return store_models.NotWritten('limit')
            case 'down':
                return store_models.Unknown('down')
            case 'late':
                self.store.delayed.append((spec, expected))
                return store_models.Unknown('lost')
            case 'lost answer':
                self.store.put(spec, expected)
                return store_models.Unknown('lost')
        return self.store.put(spec, expected)

    @stateful.rule()
    def send(self):
        self.senders.append(Sender(self, len(self.senders)))

    @stateful.precondition(lambda self: self.senders)
    @stateful.rule(
        pick=st.integers(0, 50),
        fault=st.sampled_from(
            ['', '', '', 'refused', 'down', 'late', 'lost answer']
        ),
    )
    def advance(self, pick, fault):
        sender = self.senders[pick % len(self.senders)]
        if sender.outcome is None and sender.name not in self.dead:
            sender.advance(fault)

    @stateful.precondition(lambda self: self.senders)
    @stateful.rule(picks=st.lists(st.integers(0, 50), max_size=12))
    def advance_in_turn(self, picks):
        for pick in picks:
            self.advance(pick, '')

    @stateful.precondition(lambda self: self.senders)
    @stateful.rule(
        pick=st.integers(0, 50),
        how=st.sampled_from(['answer', 'not run', 'lost']),
    )
    def finish(self, pick, how):
        sender = self.senders[pick % len(self.senders)]
        if sender.action != 'running' or sender.name in self.dead:
            return
        match how:
            case 'answer':
                kept = claims.build_kept_answer(
                    200, 'text/plain', sender.name.encode()
                )
                write = sender.claim.complete(kept)
                self.answers.add(sender.name.encode())
            case 'not run':
                write = sender.claim.release()
                self.runs -= 1
            case 'lost':
                write = sender.claim.mark_unknown()
        assert isinstance(
            self.store.put(claims.encode_record(write.record), write.expected),
            store_models.Stored,
        ), 'nobody else may have changed the claim of a running request'
        sender.action = claims.Refuse(verdicts.MayHaveRun('ended'))
        sender.outcome = sender.action

    @stateful.precondition(lambda self: self.senders)
    @stateful.rule(pick=st.integers(0, 50))
    def crash(self, pick):
        self.dead.add(self.senders[pick % len(self.senders)].name)

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule()
    def deliver_late(self):
        self.store.put(*self.store.delayed.pop(0))

    @stateful.rule(seconds=st.floats(0, 30))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def runs_at_most_once(self):
        assert self.runs <= 1

    @stateful.invariant()
    def replays_only_first_answers(self):
        for sender in self.senders:
            if isinstance(sender.outcome, claims.Replay):
                assert sender.outcome.answer.get_body() in self.answers

    @stateful.invariant()
    def says_not_run_only_of_what_did_not_run(self):
        for sender in self.senders:
            if isinstance(sender.outcome, claims.Refuse) and not sender.ran:
                continue
            if isinstance(sender.outcome, claims.Refuse):
                assert isinstance(sender.outcome.failure, verdicts.MayHaveRun)


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


def build_claim(alive=True):
    record = claims.ClaimRecord(FINGERPRINT, 'e0', 1, 'op0', 0)
    return claims.Claim(record, 100, lambda name, incarnation: alive)


def read(record):
    spec = claims.encode_record(record)
    return store_models.Stored(
        store_models.StoredObject('claims', 'k', '3', spec)
    )


def test_a_key_used_for_another_request_is_refused_as_not_run():
    other = claims.ClaimRecord(8, 'e1', 1, 'op1', 0)
    action = build_claim().on_read(read(other), 0)
    assert isinstance(action.failure, verdicts.NotRun)
    assert action.failure.status == 422


def test_a_claim_of_a_lost_entry_is_never_run_again():
    other = claims.ClaimRecord(FINGERPRINT, 'e1', 1, 'op1', 0)
    action = build_claim(alive=False).on_read(read(other), 0)
    assert isinstance(action.failure, verdicts.MayHaveRun)


def test_a_store_that_stays_away_means_not_run_and_a_release():
    claim = build_claim()
    claim.start()
    action = claim.on_write(store_models.Unknown('lost'), 0)
    while not isinstance(action, claims.Refuse):
        action = claim.on_read(store_models.Unknown('down'), 0)
    assert isinstance(action.failure, verdicts.NotRun)
    assert action.releases_claim
