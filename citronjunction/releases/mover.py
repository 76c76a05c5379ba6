"""State machine of moves, run by the holder of a lease, without I/O."""

import dataclasses
import math
from collections import abc

from citronjunction.configuration import models as configuration
from citronjunction.releases import evidence, pacing, status

MAX_LOADS_PER_STEP = 2  # workers ordered to load weights at once
SPARE_RATIO = 1.3  # workers per share of traffic, with 30 % spare
KEEP_PREVIOUS_S = 3600.0  # a rollback after completion needs the old version

MoveState = status.MoveState


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerView:
    """Versions of a worker as it last reported them."""

    name: str
    versions: tuple[str, ...]
    is_leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class StepInputs:
    """All that a step depends on besides the status.

    ``now`` is in epoch seconds. ``assessment`` is about ``assessed_version``,
    ``withdrawn`` maps versions that entries withdrew to the reason, and every
    entry has applied the configuration up to ``applied_revision``.
    """

    now: float
    configuration: configuration.Configuration
    workers: tuple[WorkerView, ...] = ()
    assessed_version: str = ''
    assessment: evidence.Assessment = evidence.Assessment()
    withdrawn: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    applied_revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """All versions that a worker must serve; it unloads the others."""

    worker: str
    versions: tuple[str, ...]


def step(current: status.Status, inputs: StepInputs) -> status.Status:
    """Return the next status of an owner, or an equal one if nothing is due."""
    result = _add_declared_moves(current, inputs)
    for record in result.moves:
        if record.is_open:
            result = _step_move(result, record, inputs)
    return _check_stable(result, inputs)


def plan_orders(
    current: status.Status, inputs: StepInputs
) -> tuple[Order, ...]:
    """Return orders for workers that do not serve the wanted versions."""
    if not current.stable:
        return ()
    workers = [worker for worker in inputs.workers if not worker.is_leaving]
    base_versions = [ver for ver in (current.stable, current.previous) if ver]
    wanted = _choose_candidate_workers(current, workers)
    orders = []
    for worker in workers:
        versions = list(dict.fromkeys(base_versions))
        if worker.name in wanted:
            versions.append(current.candidate)
        if set(versions) != set(worker.versions):
            orders.append(Order(worker.name, tuple(versions)))
    return tuple(orders[:MAX_LOADS_PER_STEP])


def count_needed(share: float, total: int) -> int:
    """Return how many of ``total`` workers a share of the traffic needs."""
    return max(1, min(total, math.ceil(share * SPARE_RATIO * total)))


def _choose_candidate_workers(
    current: status.Status,
    workers: list[WorkerView],
) -> set[str]:
    if not current.candidate:
        return set()
    stage = _get_stage(current)
    next_share = pacing.TRAFFIC_SHARES[
        min(stage + 1, len(pacing.TRAFFIC_SHARES) - 1)
    ]
    needed = count_needed(next_share, len(workers))
    ordered = sorted(
        workers,
        key=lambda item: (current.candidate not in item.versions, item.name),
    )
    return {worker.name for worker in ordered[:needed]}


def _get_stage(current: status.Status) -> int:
    stages = [record.stage for record in current.moves if record.is_open]
    return max(stages, default=0)


def _add_declared_moves(
    current: status.Status, inputs: StepInputs
) -> status.Status:
    result = current
    name = current.owner.partition('-')[2]
    spec = inputs.configuration.upstreams.get(name)
    if spec is not None and current.owner.startswith('upstream-'):
        if not result.stable:
            result = dataclasses.replace(result, stable=spec.version)
    for move in inputs.configuration.moves:
        is_own = status.get_owner(move.subject) == current.owner
        if is_own and move.revision > current.adopted_revision:
            result = result.replace_move(
                status.MoveRecord(
                    move.name,
                    move.action,
                    move.subject,
                    move.revision,
                    move.deadline_at,
                    move.version,
                    started_at=inputs.now,
                    stage_at=inputs.now,
                ),
            )
            result = dataclasses.replace(
                result,
                adopted_revision=move.revision,
            )
    return result


def _step_move(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    kind = record.subject.split()[0]
    match kind, record.action:
        case 'version', 'add':
            return _step_version(current, record, inputs)
        case 'version', 'withdraw':
            return _withdraw_version(current, record, inputs)
        case 'upstream', 'add':
            return _step_upstream(current, record, inputs)
        case _:
            return _finish_if_applied(current, record, inputs)


def _finish_if_applied(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    if inputs.applied_revision < record.revision:
        return current
    reason = f'every entry has applied revision {record.revision}'
    return _finish(current, record, MoveState.done, reason, inputs)


def _step_upstream(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    serving = _count_serving(inputs, record.version)
    if serving:
        return _finish_if_applied(current, record, inputs)
    reason = f'no worker serves {record.version} yet'
    if record.reason == reason:
        return current
    return current.replace_move(dataclasses.replace(record, reason=reason))


def _count_serving(inputs: StepInputs, version: str) -> int:
    return sum(
        version in worker.versions and not worker.is_leaving
        for worker in inputs.workers
    )


def _step_version(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    reason = _find_withdrawal_reason(record.version, inputs)
    if reason and record.state is not MoveState.waiting:
        return _roll_back(current, record, reason, inputs)
    match record.state:
        case MoveState.waiting:
            return _start_loading(current, record, inputs)
        case MoveState.loading:
            return _start_trial(current, record, inputs)
        case _:
            return _advance(current, record, inputs)


def _find_withdrawal_reason(version: str, inputs: StepInputs) -> str:
    if inputs.assessment.is_bad and version == inputs.assessed_version:
        return inputs.assessment.reason
    return inputs.withdrawn.get(version, '')


def _start_loading(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    if current.candidate:
        return current
    loading = dataclasses.replace(
        record,
        state=MoveState.loading,
        reason='workers are loading the version',
        started_at=inputs.now,
        stage_at=inputs.now,
    )
    return dataclasses.replace(
        current.replace_move(loading),
        candidate=record.version,
        share=0,
        release=record.revision,
    )


def _start_trial(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    share = pacing.TRAFFIC_SHARES[0]
    if _count_serving(inputs, record.version) < _count_needed(share, inputs):
        return current
    trial = dataclasses.replace(
        record,
        state=MoveState.trial,
        reason=f'{share:.0%} of traffic',
        stage_at=inputs.now,
        stage_samples=inputs.assessment.samples,
    )
    return dataclasses.replace(current.replace_move(trial), share=share)


def _count_needed(share: float, inputs: StepInputs) -> int:
    total = sum(not worker.is_leaving for worker in inputs.workers)
    return count_needed(share, total)


def _advance(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    progress = pacing.Progress(
        record.started_at,
        record.deadline_at,
        record.stage,
        record.stage_at,
        max(0, inputs.assessment.samples - record.stage_samples),
        inputs.assessment.log_evidence,
    )
    if not pacing.may_advance(progress, inputs.now):
        return current
    last = len(pacing.TRAFFIC_SHARES) - 1
    if record.stage == last:
        return _complete(current, record, inputs)
    share = pacing.TRAFFIC_SHARES[record.stage + 1]
    if _count_serving(inputs, record.version) < _count_needed(share, inputs):
        return current
    advanced = dataclasses.replace(
        record,
        state=MoveState.moving,
        stage=record.stage + 1,
        stage_at=inputs.now,
        stage_samples=inputs.assessment.samples,
        reason=f'{share:.0%} of traffic',
    )
    return dataclasses.replace(current.replace_move(advanced), share=share)


def _complete(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    late_s = inputs.now - record.deadline_at
    reason = 'the version gets all traffic'
    if late_s > 0:
        reason = f'{reason}, {late_s:.0f} s late'
    finished = _finish(current, record, MoveState.done, reason, inputs)
    return dataclasses.replace(
        finished,
        stable=record.version,
        previous=current.stable,
        previous_until=inputs.now + KEEP_PREVIOUS_S,
        candidate='',
        share=0,
    )


def _roll_back(
    current: status.Status,
    record: status.MoveRecord,
    reason: str,
    inputs: StepInputs,
) -> status.Status:
    rolled_back = _finish(current, record, MoveState.taken_back, reason, inputs)
    withdrawal = status.Withdrawal(record.version, record.revision)
    return dataclasses.replace(
        rolled_back,
        candidate='',
        share=0,
        withdrawals=(*current.withdrawals, withdrawal),
    )


def _withdraw_version(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    version = record.version
    result = current
    if version == current.candidate:
        for add_record in current.moves:
            if add_record.is_open and add_record.action == 'add':
                reason = f'withdrawn by revision {record.revision}'
                result = _roll_back(result, add_record, reason, inputs)
    elif version == current.previous:
        result = dataclasses.replace(current, previous='')
    elif version == current.stable:
        if not current.previous:
            reason = 'no other version is available for the traffic'
            return _finish(
                current, record, MoveState.taken_back, reason, inputs
            )
        result = _restore_previous(current, 'withdrawn by a note', inputs)
    reason = f'{version} gets no traffic'
    return _finish(result, record, MoveState.withdrawn, reason, inputs)


def _check_stable(current: status.Status, inputs: StepInputs) -> status.Status:
    if not current.previous:
        return current
    reason = _find_withdrawal_reason(current.stable, inputs)
    if reason and not current.candidate:
        return _restore_previous(current, reason, inputs)
    if inputs.now >= current.previous_until:
        return dataclasses.replace(current, previous='')
    return current


def _restore_previous(
    current: status.Status,
    reason: str,
    inputs: StepInputs,
) -> status.Status:
    version = current.stable
    result = current
    for record in current.moves:
        if record.version == version and record.state is MoveState.done:
            text = f'after completion: {reason}'
            result = _finish(result, record, MoveState.taken_back, text, inputs)
    withdrawal = status.Withdrawal(version, current.release)
    return dataclasses.replace(
        result,
        stable=current.previous,
        previous='',
        withdrawals=(*current.withdrawals, withdrawal),
    )


def _finish(
    current: status.Status,
    record: status.MoveRecord,
    state: MoveState,
    reason: str,
    inputs: StepInputs,
) -> status.Status:
    finished = dataclasses.replace(
        record,
        state=state,
        reason=reason,
        finished_at=inputs.now,
    )
    return current.replace_move(finished)
