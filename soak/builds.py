"""Builds of the repository's own history, extracted into a folder."""

import dataclasses
import io
import pathlib
import subprocess
import tarfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
GATEWAY = 'citronjunction/commands/gateway.py'
SHORT = 7  # digits of a commit in the name of a build


class BuildError(Exception):
    """Raised if the repository has no such build."""


@dataclasses.dataclass(slots=True, frozen=True)
class Build:
    """Describe an extracted build; its code lies in ``folder``."""

    name: str
    folder: pathlib.Path


PRESENT = Build('the present code', ROOT)


def extract(
    commit: str, folder: pathlib.Path, root: pathlib.Path = ROOT
) -> Build:
    """Extract the files of a commit into a new folder."""
    full_name = find_commit(commit, root)
    if call_git(root, 'cat-file', '-e', f'{full_name}:{GATEWAY}').returncode:
        raise BuildError(f'commit {commit} has no gateway ({GATEWAY})')
    archive = call_git(root, 'archive', '--format=tar', full_name)
    if archive.returncode:
        raise BuildError(f'commit {commit} is not complete: {explain(archive)}')
    target = folder / full_name[:SHORT]
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(target, filter='data')
    return Build(full_name[:SHORT], target)


def find_commit(commit: str, root: pathlib.Path = ROOT) -> str:
    """Return the full name of a commit."""
    found = call_git(
        root, 'rev-parse', '--verify', '--quiet', f'{commit}^{{commit}}', '--'
    )
    lines = found.stdout.decode().split()
    if not found.returncode and lines:
        return lines[0]
    shallow = call_git(root, 'rev-parse', '--is-shallow-repository')
    match shallow.stdout.strip():
        case b'true':
            raise BuildError(
                f'commit {commit} is not in this shallow clone;'
                ' fetch the whole history (git fetch --unshallow)'
            )
        case b'false':
            raise BuildError(f'the repository has no commit {commit}')
    raise BuildError(f'{root} is not a git repository: {explain(shallow)}')


def call_git(
    root: pathlib.Path, *arguments: str
) -> subprocess.CompletedProcess[bytes]:
    """Run git in the repository and return its result."""
    try:
        return subprocess.run(
            ('git', '-C', str(root), *arguments),
            capture_output=True,
            check=False,
        )
    except FileNotFoundError as error:
        raise BuildError('git is not installed') from error


def explain(result: subprocess.CompletedProcess[bytes]) -> str:
    """Return the first line of an error of git."""
    return result.stderr.decode(errors='replace').strip().partition('\n')[0]
