"""Organisations of a run: their quotas in tokens and what they ask for."""

import dataclasses
import random
from collections import abc

from soak.virtual import history, quota_rule
from tests.support import platform_system

ORGANISATIONS = ('org', 'other', 'third')
RATE_PER_S = 5000.0  # tokens
BURST = 10000.0  # tokens
PLAIN_TOKENS = 10
MIN_TOKENS = 80
MAX_TOKENS = 400
MEAN_TOKENS = (MIN_TOKENS + MAX_TOKENS) / 2
HOT_FACTORS = (1.2, 2.0, 6.0)  # of the limit
LEVELS = (0.4, 0.7, 1.5)  # of the usual quota
LIMIT = RATE_PER_S * quota_rule.WINDOW_S + BURST


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What a new request costs, and whom."""

    organisation: str
    tokens: int


class Levels:
    """Set the quotas of organisations and record what was set."""

    __slots__ = ('deployed', 'factors', 'record')

    def __init__(
        self, deployed: platform_system.PlatformSystem, record: history.History
    ) -> None:
        self.deployed = deployed
        self.record = record
        self.factors: dict[str, float] = {}
        for name in ORGANISATIONS:
            self._record(name, 1.0)

    def change(self, name: str, factor: float) -> None:
        """Multiply the usual quota of an organisation by a factor."""
        self.factors[name] = factor
        self._record(name, factor)
        self.deployed.configure(tenants=make_tenants(self.factors))

    def _record(self, name: str, factor: float) -> None:
        now = self.deployed.world.now
        self.record.quotas.append(
            history.QuotaChange(name, factor * LIMIT, now)
        )


class Demand:
    """Choose what is asked for; one organisation may ask for too much."""

    __slots__ = ('due_tokens', 'factor', 'hot', 'levels', 'phases', 'random')

    def __init__(self, levels: Levels, source: random.Random) -> None:
        self.levels = levels
        self.random = source
        self.hot = ''
        self.factor: float = 0
        self.phases = 0
        self.due_tokens: float = 0

    def begin_hot(self, organisation: str, factor: float) -> None:
        """Let an organisation ask for a multiple of its usual limit."""
        self.hot = organisation
        self.factor = factor
        self.phases += 1

    def end_hot(self) -> None:
        """End a phase; a later one that overlaps it goes on."""
        self.phases -= 1
        if not self.phases:
            self.hot = ''
            self.due_tokens = 0

    def choose(self) -> Load:
        """Return the load of a usual request, not of the hot organisation."""
        names = [name for name in ORGANISATIONS if name != self.hot]
        return Load(self.random.choice(names), self._draw_tokens())

    def take_due(self, passed_s: float) -> abc.Iterator[Load]:
        """Yield the requests of the organisation that asks for too much."""
        if self.hot:
            per_s = self.factor * LIMIT / quota_rule.WINDOW_S
            self.due_tokens += passed_s * per_s
            while self.due_tokens >= MEAN_TOKENS:
                tokens = self._draw_tokens()
                self.due_tokens -= tokens
                yield Load(self.hot, tokens)

    def _draw_tokens(self) -> int:
        return self.random.randint(MIN_TOKENS, MAX_TOKENS)


def make_tenants(factors: abc.Mapping[str, float]) -> list[dict[str, object]]:
    """Return the configuration of the organisations with their quotas."""
    return [
        platform_system.make_tenant(
            name,
            RATE_PER_S * factors.get(name, 1.0),
            BURST * factors.get(name, 1.0),
            PLAIN_TOKENS,
        )
        for name in ORGANISATIONS
    ]


def choose_organisation(amount: float) -> str:
    """Return an organisation for a share below 1."""
    return ORGANISATIONS[int(amount * len(ORGANISATIONS))]


def choose_factor(target: int) -> float:
    """Return by how much an organisation exceeds its limit."""
    return HOT_FACTORS[target % len(HOT_FACTORS)]


def choose_level(target: int) -> float:
    """Return the factor of a changed quota."""
    return LEVELS[target % len(LEVELS)]


def decode_cost(text: str) -> int:
    """Return the tokens that a header names."""
    return sum(int(part) for part in text.split(',')) if text else PLAIN_TOKENS
