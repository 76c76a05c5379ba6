"""A reload signal that arrives during the start is not lost and ends nothing."""

import signal
import subprocess
import sys

import pytest

from citronjunction.commands import reload_signals
from tests.support import platform_system

START = """
from citronjunction.commands import reload_signals
import signal
signal.raise_signal(signal.SIGHUP)
signal.raise_signal(signal.SIGHUP)
import citronjunction.commands.gateway
print(len(reload_signals.received))
"""


# Guards against LOST: SIGHUP in the first 0.2 s ended the process.
def test_a_signal_during_the_imports_does_not_end_the_process():
    ended = subprocess.run(
        [sys.executable, '-c', START], capture_output=True, check=True
    )

    assert ended.stdout.split() == [b'2']


def test_the_program_records_signals_before_its_other_imports():
    source = (
        'import signal, sys\n'
        'import importlib.abc\n'
        'class Finder(importlib.abc.MetaPathFinder):\n'
        '    def find_spec(self, name, path, target=None):\n'
        '        if name in {"typer", "expression", "pydantic", "circuits"}:\n'
        '            signal.raise_signal(signal.SIGHUP)\n'
        'sys.meta_path.insert(0, Finder())\n'
        'import citronjunction.commands.gateway\n'
    )
    ended = subprocess.run([sys.executable, '-c', source], check=False)

    assert not ended.returncode


@pytest.mark.parametrize('count', [0, 1, 3])
def test_signals_during_the_start_reload_the_settings_once(count):
    reloads = []
    reload_signals.received.extend([signal.SIGHUP] * count)
    reload_signals.pass_on(lambda: reloads.append(True))
    reload_signals.pass_on(lambda: reloads.append(True))

    assert len(reloads) == min(count, 1)


def test_a_gateway_reads_its_settings_again_after_an_early_signal():
    reload_signals.received.append(signal.SIGHUP)
    system = platform_system.PlatformSystem().build()

    log = system.gateways['gateway-0'].log
    assert [line for line in log.recent_lines if 'reload' in line['decision']]
