"""What the holder of a lease does with the moves it covers, without I/O."""

import dataclasses
import math
from collections import abc

from citronjunction.configuration import models as configuration
from citronjunction.releases import evidence, pacing, status

MAX_LOADS_PER_STEP = 2  # workers that load weights at once
SPARE_SHARE = 1.3  # workers loaded beyond a share of traffic
KEEP_PREVIOUS_S = 3600.0

MoveState = status.MoveState


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerView:
    """Describe a worker as it last reported."""

    name: str
    versions: tuple[str, ...]
    is_leaving: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class StepInputs:
    """Hold what a step may depend on; ``now`` is epoch seconds."""

    now: float
    configuration: configuration.Configuration
    workers: tuple[WorkerView, ...] = ()
    assessed_version: str = ''
    assessment: evidence.Assessment = evidence.Assessment()
    withdrawn: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    applied_revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Tell a worker which versions to serve: a wanted end, not a step."""

    worker: str
    versions: tuple[str, ...]


def step(current: status.Status, inputs: StepInputs) -> status.Status:
    """Return the next status of an owner; unchanged if nothing is due."""
    result = _adopt(current, inputs)
    for record in result.moves:
        if record.is_open:
            result = _step_move(result, record, inputs)
    return _watch_previous(result, inputs)


def plan_orders(
    current: status.Status, inputs: StepInputs
) -> tuple[Order, ...]:
    """Return the orders that bring workers to the wanted versions."""
    if not current.stable:
        return ()
    workers = [held for held in inputs.workers if not held.is_leaving]
    base = [ver for ver in (current.stable, current.previous) if ver]
    wanted = _choose_loaders(current, workers)
    orders = []
    for worker in workers:
        versions = list(dict.fromkeys(base))
        if worker.name in wanted:
            versions.append(current.candidate)
        if set(versions) != set(worker.versions):
            orders.append(Order(worker.name, tuple(versions)))
    return tuple(orders[:MAX_LOADS_PER_STEP])


def count_needed(share: float, total: int) -> int:
    """Return how many workers must serve a version at a share."""
    return max(1, min(total, math.ceil(share * SPARE_SHARE * total)))


def _choose_loaders(
    current: status.Status,
    workers: list[WorkerView],
) -> set[str]:
    if not current.candidate:
        return set()
    stage = _get_stage(current)
    ahead = pacing.TRAFFIC_SHARES[
        min(stage + 1, len(pacing.TRAFFIC_SHARES) - 1)
    ]
    needed = count_needed(ahead, len(workers))
    ordered = sorted(
        workers,
        key=lambda held: (current.candidate not in held.versions, held.name),
    )
    return {held.name for held in ordered[:needed]}


def _get_stage(current: status.Status) -> int:
    stages = [held.stage for held in current.moves if held.is_open]
    return max(stages, default=0)


def _adopt(current: status.Status, inputs: StepInputs) -> status.Status:
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
            return _step_in_force(current, record, inputs)


def _step_in_force(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    if inputs.applied_revision < record.revision:
        return current
    reason = f'revision {record.revision} is in force on every entry'
    return _finish(current, record, MoveState.done, reason, inputs)


def _step_upstream(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    serving = _count_serving(inputs, record.version)
    if serving:
        return _step_in_force(current, record, inputs)
    reason = f'no worker serves {record.version} yet'
    if record.reason == reason:
        return current
    return current.replace_move(dataclasses.replace(record, reason=reason))


def _count_serving(inputs: StepInputs, version: str) -> int:
    return sum(
        version in held.versions and not held.is_leaving
        for held in inputs.workers
    )


def _step_version(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    bad = _find_fault(record.version, inputs)
    if bad and record.state is not MoveState.waiting:
        return _take_back(current, record, bad, inputs)
    match record.state:
        case MoveState.waiting:
            return _start_loading(current, record, inputs)
        case MoveState.loading:
            return _start_trial(current, record, inputs)
        case _:
            return _advance(current, record, inputs)


def _find_fault(version: str, inputs: StepInputs) -> str:
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
        reason='workers load the version',
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
    if _count_serving(inputs, record.version) < _count_for(share, inputs):
        return current
    trial = dataclasses.replace(
        record,
        state=MoveState.trial,
        reason=f'{share:.0%} of traffic',
        stage_at=inputs.now,
        stage_samples=inputs.assessment.samples,
    )
    return dataclasses.replace(current.replace_move(trial), share=share)


def _count_for(share: float, inputs: StepInputs) -> int:
    total = sum(not held.is_leaving for held in inputs.workers)
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
    if _count_serving(inputs, record.version) < _count_for(share, inputs):
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
    reason = 'all traffic is on the version'
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


def _take_back(
    current: status.Status,
    record: status.MoveRecord,
    reason: str,
    inputs: StepInputs,
) -> status.Status:
    back = _finish(current, record, MoveState.taken_back, reason, inputs)
    mark = status.Withdrawal(record.version, record.revision)
    return dataclasses.replace(
        back,
        candidate='',
        share=0,
        withdrawals=(*current.withdrawals, mark),
    )


def _withdraw_version(
    current: status.Status,
    record: status.MoveRecord,
    inputs: StepInputs,
) -> status.Status:
    version = record.version
    result = current
    if version == current.candidate:
        for held in current.moves:
            if held.is_open and held.action == 'add':
                reason = f'withdrawn by revision {record.revision}'
                result = _take_back(result, held, reason, inputs)
    elif version == current.previous:
        result = dataclasses.replace(current, previous='')
    elif version == current.stable:
        if not current.previous:
            reason = 'no other version stands to take the traffic'
            return _finish(
                current, record, MoveState.taken_back, reason, inputs
            )
        result = _return_to_previous(current, 'withdrawn by note', inputs)
    reason = f'{version} gets no work'
    return _finish(result, record, MoveState.withdrawn, reason, inputs)


def _watch_previous(
    current: status.Status, inputs: StepInputs
) -> status.Status:
    if not current.previous:
        return current
    bad = _find_fault(current.stable, inputs)
    if bad and not current.candidate:
        return _return_to_previous(current, bad, inputs)
    if inputs.now >= current.previous_until:
        return dataclasses.replace(current, previous='')
    return current


def _return_to_previous(
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
    mark = status.Withdrawal(version, current.release)
    return dataclasses.replace(
        result,
        stable=current.previous,
        previous='',
        withdrawals=(*current.withdrawals, mark),
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
