"""How much of its limit an organisation gets that asks for more."""

import dataclasses
import random

from soak.virtual import drawing, history, playing, quota_rule, tenancy

ORGANISATION = tenancy.ORGANISATIONS[0]
STEP_S = 0.25  # between the starts of windows
CALM_SHARE = 0.95  # of the limit that is served at least
FAULTY_SHARE = 0.6
DISTURBED_SHARE = 3  # one entry in so many is disturbed
ROUND_S = 10.0  # in which so many entries are disturbed
MAX_OUTAGE_S = 6.0
OUTAGES = (
    drawing.Kind.entries_replaced,
    drawing.Kind.peers_cut,
    drawing.Kind.store_cut,
    drawing.Kind.entry_killed,
    drawing.Kind.entry_stopped,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Shares of the limit that were served and run in each window."""

    plan: playing.Plan
    served: list[float]
    ran: list[float]
    violations: list[str]

    @property
    def required(self) -> float:
        """Return the share that each window should reach."""
        return FAULTY_SHARE if self.plan.quota_slack else CALM_SHARE

    def summarise(self) -> str:
        """Return a line of figures and one for each violation."""
        low = sum(share < self.required for share in self.served)
        mean = sum(self.served) / len(self.served)
        line = (
            f'{self.plan.entries} entries, seed {self.plan.seed}: served'
            f' {min(self.served):.3f} to {max(self.served):.3f} of the limit,'
            f' {mean:.3f} on average, {low} of {len(self.served)} windows'
            f' below {self.required}; {max(self.ran):.3f} ran at most'
        )
        violated = [f'  violated: {text}' for text in self.violations]
        return '\n'.join([line, *violated])


def judge(plan: playing.Plan, factor: float) -> Result:
    """Play a run in which an organisation asks a multiple of its limit.

    A third of the entries is disturbed in each round if the plan allows use
    beyond the limit, as it does in faulty runs only.
    """
    faults = draw_outages(plan) if plan.quota_slack else []
    report = playing.play_faults(plan, faults, (ORGANISATION, factor))
    record = report.record
    sent_at = min(request.sent_at for request in record.requests)
    starts = []
    at = sent_at + quota_rule.WINDOW_S
    while at + quota_rule.WINDOW_S <= sent_at + plan.seconds:
        starts.append(at)
        at += STEP_S
    served = {request.name for request in record.requests if request.is_served}
    uses = [use for use in record.uses if use.organisation == ORGANISATION]
    return Result(
        plan,
        [
            _measure([use for use in uses if use.request in served], start)
            for start in starts
        ],
        [_measure(uses, start) for start in starts],
        report.violations,
    )


def draw_outages(plan: playing.Plan) -> list[drawing.Fault]:
    """Return outages of a third of the entries in each round."""
    source = random.Random(plan.seed)
    faults = []
    start = drawing.FIRST_FAULT_S
    while start + ROUND_S <= plan.seconds:
        faults.extend(
            drawing.Fault(
                source.uniform(start, start + ROUND_S),
                source.choice(OUTAGES),
                target,
                source.uniform(drawing.MIN_DURATION_S, MAX_OUTAGE_S),
                0,
            )
            for target in source.sample(
                range(plan.entries), plan.entries // DISTURBED_SHARE
            )
        )
        start += ROUND_S
    return sorted(faults, key=lambda fault: fault.starts_at)


def _measure(uses: list[history.Use], start: float) -> float:
    end = start + quota_rule.WINDOW_S
    return (
        sum(use.cost for use in uses if start <= use.at < end) / tenancy.LIMIT
    )
