"""Tests of the upgrade soak: its plan, its errors, its checks and a short run."""

import pathlib
import signal
import subprocess
import sys

import pytest

from soak import bounds, builds, invariants, upgrading

ROOT_COMMIT = 'a428e07'  # has no gateway yet


def make_plan(seed, *, is_back=False):
    folder = pathlib.Path('nowhere')
    old = builds.Build('old', folder)
    return upgrading.Plan(seed, old, builds.Build('new', folder), is_back)


def list_steps(plan):
    steps = upgrading.draw_steps(plan, ['a', 'b', 'c'])
    return [(step.entry, step.build.name, step.number) for step in steps]


def test_the_same_seed_draws_the_same_steps():
    assert list_steps(make_plan(7)) == list_steps(make_plan(7))
    assert len({str(list_steps(make_plan(seed))) for seed in range(20)}) > 5


@pytest.mark.parametrize('is_back', [False, True])
def test_each_entry_is_replaced_once_and_one_is_killed(is_back):
    steps = list_steps(make_plan(3, is_back=is_back))
    for target in ('new', 'old') if is_back else ('new',):
        chosen = [step for step in steps if step[1] == target]
        assert sorted(name for name, _, _ in chosen) == ['a', 'b', 'c']
        numbers = [number.name for _, _, number in chosen]
        assert sorted(numbers) == ['SIGKILL', 'SIGTERM', 'SIGTERM']


def test_a_planned_upgrade_kills_no_entry():
    plan = make_plan(3)
    planned = upgrading.Plan(3, plan.old, plan.new, is_planned=True)
    assert {number for _, _, number in list_steps(planned)} == {signal.SIGTERM}


def run_git(folder, *arguments):
    subprocess.run(
        ('git', '-C', str(folder), *arguments), check=True, capture_output=True
    )


@pytest.mark.parametrize(
    ('commit', 'reason'),
    [
        ('nonsense', 'no commit nonsense'),
        ('--help', 'no commit --help'),
        ('0' * 40, 'no commit 000'),
        (ROOT_COMMIT, 'has no gateway'),
    ],
)
def test_commits_without_a_build_are_reported(tmp_path, commit, reason):
    with pytest.raises(builds.BuildError, match=reason):
        builds.extract(commit, tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_shallow_clone_is_reported(tmp_path):
    clone = tmp_path / 'clone'
    run_git(
        tmp_path, 'clone', '-q', '--depth=1', f'file://{builds.ROOT}', 'clone'
    )
    with pytest.raises(builds.BuildError, match='shallow clone'):
        builds.extract('257d141', tmp_path, clone)


def test_a_folder_without_a_repository_is_reported(tmp_path):
    with pytest.raises(builds.BuildError, match='is not a git repository'):
        builds.extract('257d141', tmp_path, tmp_path)


def test_the_command_ends_with_status_2_without_a_build():
    ended = subprocess.run(
        (sys.executable, '-m', 'soak', 'upgrade', '--from', 'nonsense'),
        cwd=builds.ROOT,
        capture_output=True,
        check=False,
    )

    assert ended.returncode == 2
    assert b'no commit nonsense' in ended.stderr


def test_windows_slide():
    assert bounds.count_worst([0.0, 3.0, 3.5, 6.9, 7.0], 4.0) == 3
    assert bounds.count_worst([], 4.0) == 0


def test_a_worker_beyond_its_limit_is_found():
    often = [number / 10 for number in range(100)]

    assert bounds.check_limit('w', often, 1, 0)
    assert not bounds.check_limit('w', often[::10], 1, 0)
    assert not bounds.check_limit('w', often, 1, 8)


def test_an_organisation_beyond_its_quota_is_found():
    assert not bounds.check_quota('org', 128, 10, 20)
    assert bounds.check_quota('org', 129, 10, 20)


def test_a_short_upgrade_breaks_no_rule(tmp_path):
    old = builds.extract('257d141', tmp_path)
    plan = upgrading.Plan(2, old, builds.PRESENT, entries=2, is_planned=True)
    report = upgrading.Run(plan, tmp_path).upgrade_all()

    assert not report.violations
    assert len(report.steps) == 2
    assert any(request.status == invariants.OK for request in report.requests)
