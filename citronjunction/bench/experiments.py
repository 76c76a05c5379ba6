"""Experiments by name, and a document with the figures of all."""

import dataclasses
import statistics
from collections import abc

from citronjunction.bench import (
    control,
    decisions,
    fairness,
    fits,
    mixes,
    moves,
    placement,
    relay,
    serving,
)

TARGET_FIRST_TOKEN_S = 0.38  # limit of the 95th percentile
TARGET_NODES = 370
BASELINE = 'least_loaded'
POLICIES = ('ours', BASELINE, 'round_robin', 'plain_hash')

Document = dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class Scale:
    """Configure the durations and sizes of the experiments."""

    serving_s: float
    sizing_s: float
    fairness_s: float
    move_seeds: int
    fleets: tuple[int, ...]


QUICK = Scale(30, 25, 15, 1, (7, 37))
FULL = Scale(120, 60, 60, 20, (7, 37, 111))


def measure_routing(seed: int, scale: Scale) -> Document:
    """Compare routing policies on both mixes."""
    figures: Document = {}
    for mix in mixes.MIXES:
        runs = {
            name: serving.measure(
                name,
                mix,
                mix.workers,
                scale.serving_s,
                seed,
            )
            for name in POLICIES
        }
        needed = {
            name: serving.find_workers(
                name,
                mix,
                scale.sizing_s,
                seed,
                TARGET_FIRST_TOKEN_S,
            )
            for name in ('ours', BASELINE)
        }
        ours = runs['ours']
        base = runs[BASELINE]
        figures[mix.name] = {
            'baseline': BASELINE,
            'cost_ratio': round(needed['ours'] / needed[BASELINE], 3),
            'recomputed_ratio': round(
                ours.recomputed_tokens / base.recomputed_tokens,
                3,
            ),
            'first_token_p95_ratio': round(
                ours.first_token_p95_s / base.first_token_p95_s,
                3,
            ),
            'policies': {
                name: dataclasses.asdict(run) for name, run in runs.items()
            },
            'workers_needed': needed,
        }
    return figures


def measure_moves(seed: int, scale: Scale) -> Document:
    """Simulate moves to good and bad versions on both mixes."""
    seeds = range(seed, seed + scale.move_seeds)
    return {mix.name: moves.measure(mix, seeds) for mix in mixes.MIXES}


def measure_placement(seed: int, scale: Scale) -> Document:
    """Simulate a day of placement on both mixes."""
    return {mix.name: placement.measure(mix, seed) for mix in mixes.MIXES}


def measure_fairness(seed: int, scale: Scale) -> Document:
    """Compare the first token of an organisation with and without a flood."""
    figures: Document = {}
    for mix in mixes.MIXES:
        p95_s = fairness.measure(mix, scale.fairness_s, seed)
        ratio = p95_s[fairness.FLOODED] / p95_s[fairness.CALM]
        figures[mix.name] = round(ratio, 3)
    return figures


def measure_decisions(seed: int, scale: Scale) -> Document:
    """Measure the duration of routing decisions."""
    return {
        str(size): decisions.measure(size, seed)
        for size in decisions.WORKER_COUNTS
    }


def measure_relay(seed: int, scale: Scale) -> Document:
    """Measure the cost of relaying streams with real processes."""
    points = relay.run(quick=scale is QUICK)
    return {str(point.streams): dataclasses.asdict(point) for point in points}


def measure_control(seed: int, scale: Scale) -> Document:
    """Measure idle fleets of real processes, and extrapolate to the target."""
    points = [control.measure(size) for size in scale.fleets]
    rows = {str(point.nodes): dataclasses.asdict(point) for point in points}
    fitted = {}
    for key in ('cpu_share', 'rss_mb'):
        line = fits.fit_line(
            [(point.nodes, getattr(point, key)) for point in points],
        )
        fitted[key] = round(line.at(TARGET_NODES), 4)
    spreads = [(point.nodes, point.spread_s) for point in points]
    return {
        'points': rows,
        'fitted_370': fitted,
        'spread_s': {str(size): spread_s for size, spread_s in spreads},
        'spread_s_fitted_370': round(
            fits.extrapolate_logarithm(spreads, TARGET_NODES),
            2,
        ),
    }


Experiment = abc.Callable[[int, Scale], Document]
EXPERIMENTS: abc.Mapping[str, Experiment] = {
    'routing': measure_routing,
    'moves': measure_moves,
    'placement': measure_placement,
    'fairness': measure_fairness,
    'decisions': measure_decisions,
    'relay': measure_relay,
    'control': measure_control,
}


def run_all(seed: int, scale: Scale) -> Document:
    """Run every experiment and return the combined figures."""
    parts = {
        name: measure(seed, scale) for name, measure in EXPERIMENTS.items()
    }
    deployments = {
        mix.name: {
            **parts['routing'][mix.name],
            **parts['moves'][mix.name],
            **parts['placement'][mix.name],
        }
        for mix in mixes.MIXES
    }
    control = parts['control']
    ratios = parts['fairness'].values()
    return {
        'seed': seed,
        'deployments': deployments,
        'fairness_p95_ratio': max(ratios),
        'fairness_p95_ratio_mean': round(statistics.mean(ratios), 3),
        'decision_us': parts['decisions'],
        'relay_us_per_token': {
            key: point['us_per_token'] for key, point in parts['relay'].items()
        },
        'relay': parts['relay'],
        'control': control['points'],
        'control_fitted_370': control['fitted_370'],
        'spread_s': control['spread_s'],
        'spread_s_fitted_370': control['spread_s_fitted_370'],
    }
