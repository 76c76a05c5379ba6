"""Speed of an engine and size of its prompts, as an entry sees them."""

import collections
import dataclasses

MAX_SAMPLES = 256  # first events that are kept of an upstream
MIN_SAMPLES = 40  # until the largest prompts are known
MIN_SPEED_SAMPLES = 12
MIN_SPEED_TOKENS = 1000  # of a prompt, below which other delays prevail
# Quantile of the measured speeds: most prompts share the engine with others.
SPEED_QUANTILE = 0.9
MIN_FIRST_EVENT_S = 0.001


@dataclasses.dataclass(slots=True, frozen=True)
class FirstEvent:
    """Describe a prompt whose first event came after ``first_s``.

    ``prefill_tokens`` are those that were not cached, ``total_tokens`` those
    of the prompt and of the longest output. ``target_s`` is the objective, 0
    if there is none.
    """

    prompt_tokens: int
    prefill_tokens: int
    total_tokens: int
    first_s: float
    target_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Profile:
    """Describe the prompts of an upstream and the speed of its engine.

    ``prefill_share`` is the share of the tokens that are not cached,
    ``longest_share`` the largest share of its objective that a prompt takes
    alone, and ``resident_tokens`` the mean size of a run weighted by size.
    """

    prefill_tokens_per_s: float
    prefill_share: float
    longest_share: float
    resident_tokens: float


class Observations:
    """Keep the last first events of each upstream."""

    __slots__ = ('samples',)

    def __init__(self) -> None:
        self.samples: dict[str, collections.deque[FirstEvent]] = {}

    def record(self, upstream: str, event: FirstEvent) -> None:
        """Record the first event of a run."""
        samples = self.samples.get(upstream)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self.samples[upstream] = samples
        samples.append(event)

    def describe(self, upstream: str) -> Profile | None:
        """Return the profile of an upstream, None until enough is known."""
        samples = self.samples.get(upstream, ())
        speeds = sorted(
            event.prefill_tokens / max(MIN_FIRST_EVENT_S, event.first_s)
            for event in samples
            if event.prefill_tokens >= MIN_SPEED_TOKENS
        )
        if len(samples) < MIN_SAMPLES or len(speeds) < MIN_SPEED_SAMPLES:
            return None
        speed = speeds[int(SPEED_QUANTILE * (len(speeds) - 1))]
        totals = [event.total_tokens for event in samples]
        return Profile(
            speed,
            sum(event.prefill_tokens for event in samples)
            / max(1, sum(event.prompt_tokens for event in samples)),
            max(
                event.prefill_tokens / speed / event.target_s
                for event in samples
                if event.target_s
            )
            if any(event.target_s for event in samples)
            else 1.0,
            sum(total * total for total in totals) / max(1, sum(totals)),
        )
