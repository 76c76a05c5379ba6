"""The start pauses the garbage collector only while it imports."""

import subprocess
import sys

from citronjunction.commands import starting


def test_the_collector_runs_after_the_start():
    code = (
        'import gc; from citronjunction.commands import starting;'
        ' program = starting.load();'
        ' print(gc.isenabled(), gc.get_freeze_count() > 0, program.__name__)'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        check=True,
        text=True,
    )

    assert done.stdout.split() == ['True', 'True', starting.MODULE]


def test_the_program_runs_with_its_options():
    done = subprocess.run(
        [sys.executable, '-m', 'citronjunction.commands.starting', '--version'],
        capture_output=True,
        check=True,
        text=True,
    )

    assert 'citronjunction' in done.stdout
