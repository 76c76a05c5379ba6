"""Record the golden frames of builds: ``record.py COMMIT...``.

Each build comes from the repository's history and runs in a process of its own.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

from soak import builds

DATA = pathlib.Path(__file__).parent / 'data'
SAMPLING = pathlib.Path(__file__).with_name('sampling.py')


def record(commit: str) -> pathlib.Path:
    """Write the samples of a commit's build; return the file."""
    with tempfile.TemporaryDirectory() as folder:
        build = builds.extract(commit, pathlib.Path(folder))
        samples = subprocess.run(
            (sys.executable, '-P', str(SAMPLING), str(build.folder)),
            env={
                **os.environ,
                'PYTHONPATH': str(build.folder),
                'PYTHONHASHSEED': '0',
            },
            cwd=build.folder,
            stdout=subprocess.PIPE,
            check=True,
        ).stdout
        path = DATA / f'{build.name}.json'
        path.write_bytes(samples + b'\n')
    return path


if __name__ == '__main__':
    for commit_name in sys.argv[1:]:
        sys.stdout.write(f'{record(commit_name)}\n')
