"""State machine that uses, disturbs and restarts entries with a quota."""

from hypothesis import stateful, strategies

from tests.gateway import quota_fleet

PICKS = strategies.sampled_from(range(12))
EVERY = strategies.just(frozenset(range(12)))
GROUPS = EVERY | strategies.sets(PICKS, min_size=1)
COUNTS = strategies.sampled_from((8, 80, 160))
WAITS = strategies.sampled_from((0, 24, 110, 400, 700))
PACES = strategies.sampled_from((0, quota_fleet.PACE))
# Ticks before the first use may leave the window.
EARLY = strategies.sampled_from((None, 0, 1, 9, 24))
AGES = strategies.sampled_from((0, 100, 700, 790, 810))


def disturbed_rule(**arguments):
    """Return a decorator of a rule for runs with faults."""

    def decorate(method):
        is_possible = stateful.precondition(lambda self: self.is_disturbed)
        return is_possible(stateful.rule(**arguments)(method))

    return decorate


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Use, disturb and restart entries in any order.

    ``links`` names how entries lose each other. They restart and refund only
    while all hear each other, and report a refund before its charge has left
    the window and apart from other use.
    """

    ledger_class = quota_fleet.Ledger
    links = 'parted'

    @stateful.initialize(
        count=strategies.sampled_from((2, 2, 2, 3, 3, 5, 7, 12)),
        write_ticks=strategies.sampled_from((0, 10, 30)),
        is_disturbed=strategies.booleans(),
    )
    def begin(self, count, write_ticks, is_disturbed):
        self.fleet = quota_fleet.Fleet(
            count, self.ledger_class, write_ticks=write_ticks
        )
        self.is_disturbed = is_disturbed

    def pick_host(self, pick):
        return self.fleet.hosts[pick % len(self.fleet.hosts)]

    def pick_hosts(self, picks):
        hosts = dict.fromkeys(map(self.pick_host, sorted(picks)))
        return [host for host in hosts if not host.is_frozen]

    @stateful.rule(
        wait=WAITS,
        early=EARLY,
        picks=GROUPS,
        is_led=strategies.booleans(),
        pace=PACES,
    )
    def flood(self, wait, early, picks, is_led, pace):
        """Flood entries, after a request each a moment before."""
        if early is not None and self.fleet.ran:
            oldest = self.fleet.now - quota_fleet.WINDOW
            recent = (at for at, _ in self.fleet.ran if at > oldest)
            wait = next(recent, 0) + quota_fleet.WINDOW - early - self.fleet.now
        self.fleet.advance(wait)
        hosts = self.pick_hosts(picks)
        self.fleet.ask(hosts, is_led * len(hosts), is_sent=True)
        self.fleet.ask(hosts, quota_fleet.FLOOD, is_sent=True, pace=pace)

    @stateful.rule(
        picks=GROUPS,
        count=COUNTS,
        pace=PACES,
        is_rejected=strategies.booleans(),
    )
    def ask(self, picks, count, pace, is_rejected):
        batch = self.fleet.ask(self.pick_hosts(picks), count, pace=pace)
        batch.state = 'rejected' if is_rejected else 'waiting'

    @stateful.precondition(lambda self: self.fleet.batches)
    @stateful.rule(pick=strategies.sampled_from(range(3)), age=AGES, wait=WAITS)
    def finish(self, pick, age, wait):
        """Send, repeat or refund requests of that age, then flood."""
        batch = self.fleet.batches[-1 - pick % len(self.fleet.batches)]
        self.fleet.advance(batch.changed_at + age - self.fleet.now)
        if batch.state == 'rejected':
            self.fleet.heal()
            self.fleet.skip_late_refund(batch)
            self.fleet.advance(quota_fleet.REPORT_INTERVAL)
            self.fleet.refund(batch)
            self.fleet.advance(quota_fleet.REPORT_INTERVAL)
        else:
            self.fleet.send(batch)
        self.fleet.advance(wait)
        self.fleet.press(self.pick_hosts(range(12)))

    @disturbed_rule(picks=GROUPS, group=strategies.sampled_from((1, 2)))
    def part(self, picks, group):
        """Cut entries off from the others, or slow their links down."""
        self.fleet.disturb()
        for host in dict.fromkeys(map(self.pick_host, sorted(picks))):
            host.is_slow = self.links == 'slow'
            host.is_muted = self.links == 'one way'
            host.group = group * (self.links == 'parted')

    @disturbed_rule()
    def heal(self):
        self.fleet.heal()

    @stateful.precondition(lambda self: self.fleet.late)
    @stateful.rule(pick=PICKS, is_doubled=strategies.booleans())
    def deliver(self, pick, is_doubled):
        """Deliver a late report before its time, maybe twice."""
        late = self.fleet.late[pick % len(self.fleet.late)]
        self.fleet.deliver(late)
        if not is_doubled:
            self.fleet.late.remove(late)

    @disturbed_rule(pick=PICKS)
    def freeze_or_thaw(self, pick):
        self.fleet.disturb()
        host = self.pick_host(pick)
        host.is_frozen = not host.is_frozen

    @disturbed_rule(
        picks=GROUPS,
        pause=WAITS,
        is_read=strategies.booleans(),
        names=strategies.sampled_from(('kept', 'new', 'new after leaving')),
    )
    def restart(self, picks, pause, is_read, names):
        """End entries and start as many, under the same or under new names.

        They read the checkpoint at once, or after some callers have come.
        """
        self.fleet.is_calm = False
        self.fleet.heal()
        self.fleet.wait_for_checkpoint()
        ended = dict.fromkeys(map(self.pick_host, sorted(picks)))
        for host in ended:
            self.fleet.end_host(host, is_planned=names == 'new after leaving')
        self.fleet.advance(pause)
        left = self.pick_hosts(range(12)) if self.fleet.hosts else []
        self.fleet.ask(left, 80, is_sent=True)
        started = [
            self.fleet.start_host(host.name if names == 'kept' else None)
            for host in ended
        ]
        if not is_read:
            self.fleet.ask(started, 80, is_sent=True, pace=quota_fleet.PACE)
        for host in started:
            host.ledger.restore(*self.fleet.read_checkpoint())
        self.fleet.press(self.pick_hosts(range(12)))

    @stateful.rule(
        limit=strategies.sampled_from(
            (quota_fleet.LIMIT // 2, quota_fleet.LIMIT)
        ),
        picks=GROUPS,
    )
    def change_limit(self, limit, picks):
        """Change the limit, which only some entries learn of."""
        if limit != self.fleet.limits[-1][0]:
            self.fleet.limits.append([limit, None])
        for host in self.pick_hosts(picks):
            host.limit = limit
            host.ledger.apply()
        self.fleet.note_limits()
