"""Request mixes of the two deployments, as their users describe them.

In atlas, fitters ask short questions about part histories and planners request
long dossiers over several turns. In lin, congregants chat with the assistant of
their mosque and imams request long timetable drafts. The token counts are
assumptions.
"""

import dataclasses
import random
from collections import abc

import xxhash

from citronjunction.standins import batch

BLOCK_TOKENS = batch.BLOCK_TOKENS


@dataclasses.dataclass(slots=True, frozen=True)
class RequestKind:
    """Describe a kind of request.

    The prompt of each request consists of tokens shared by an organisation,
    one of its documents and the turns of the session so far.
    """

    name: str
    weight: float
    shared_tokens: int
    document_count: int
    document_tokens: int
    turns: int
    tokens_per_turn: int
    mean_answer_tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Mix:
    """Describe a deployment; ``rate`` is in requests per second."""

    name: str
    workers: int
    entries: int
    rate: float
    organisations: int
    kinds: tuple[RequestKind, ...]


ATLAS = Mix(
    'atlas',
    6,
    6,
    18,
    5,
    (
        RequestKind('lookup', 0.7, 384, 150, 768, 2, 64, 48),
        RequestKind('dossier', 0.3, 384, 60, 2048, 5, 256, 160),
    ),
)
LIN = Mix(
    'lin',
    5,
    7,
    18,
    5,
    (
        RequestKind('question', 0.8, 512, 80, 512, 4, 96, 48),
        RequestKind('draft', 0.2, 512, 24, 1536, 2, 128, 240),
    ),
)
MIXES = (ATLAS, LIN)


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Describe a request that arrives ``at`` seconds after the start."""

    at: float
    entry: int
    organisation: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int


def generate(
    mix: Mix,
    seconds: float,
    seed: int,
) -> abc.Iterator[Arrival]:
    """Yield the requests of Poisson sessions whose prompts grow by turns."""
    rng = random.Random(seed)  # noqa: S311
    waiting: list[tuple[float, Arrival]] = []
    turns = sum(kind.weight * kind.turns for kind in mix.kinds)
    now: float = 0
    while now < seconds:
        now += rng.expovariate(mix.rate / turns)
        waiting.extend(_build_session(mix, now, rng))
    arrivals = [arrival for at, arrival in waiting if at < seconds]
    arrivals.sort(key=lambda arrival: arrival.at)
    yield from arrivals


def _build_session(
    mix: Mix,
    start: float,
    rng: random.Random,
) -> abc.Iterator[tuple[float, Arrival]]:
    kind = rng.choices(mix.kinds, [item.weight for item in mix.kinds])[0]
    organisation = min(
        int(rng.paretovariate(1)) - 1,
        mix.organisations - 1,
    )
    document = min(int(rng.paretovariate(0.7)) - 1, kind.document_count - 1)
    entry = rng.randrange(mix.entries)
    session = rng.getrandbits(48)
    at = start
    for turn in range(1, kind.turns + 1):
        blocks = (
            *_name_blocks(kind.shared_tokens, organisation),
            *_name_blocks(
                kind.document_tokens, organisation, kind.name, document
            ),
            *_name_blocks(kind.tokens_per_turn * turn, session),
        )
        yield (
            at,
            Arrival(
                at,
                entry,
                organisation,
                blocks,
                len(blocks) * BLOCK_TOKENS,
                max(4, int(rng.expovariate(1 / kind.mean_answer_tokens))),
            ),
        )
        at += rng.uniform(2, 8)


def _name_blocks(tokens: int, *parts: object) -> abc.Iterator[int]:
    for number in range(tokens // BLOCK_TOKENS):
        text = '/'.join(map(str, (number, *parts)))
        yield xxhash.xxh3_64_intdigest(text.encode())
