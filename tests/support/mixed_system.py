"""Gateways of an old build's own code beside present ones, in virtual time."""

import contextlib
import functools
import importlib
import pathlib
import sys
import tempfile

from citronjunction.transport import sockets
from soak import builds
from tests.support import platform_system

PACKAGES = ('citronjunction', 'tests', 'soak')


class OldCode:
    """The modules of a build that entries run; their types are its own."""

    def __init__(self, folder):
        with importing_from(folder):
            self.conf = importlib.import_module('citronjunction.conf.models')
            self.command = importlib.import_module(
                'citronjunction.commands.gateway'
            )
            self.facts = importlib.import_module(
                'citronjunction.membership.facts'
            )
            self.virtual = importlib.import_module('tests.support.virtual')
            for name in ('observability.metrics', 'gateway.fleet'):
                importlib.import_module(f'citronjunction.{name}')
        # A virtual connection is one object for the builds at both ends.
        self.virtual.sockets.Connection = sockets.Connection


@functools.cache
def load(commit):
    """Return the code of a commit's build."""
    with tempfile.TemporaryDirectory() as folder:
        build = builds.extract(commit, pathlib.Path(folder))
        return OldCode(build.folder)


@contextlib.contextmanager
def importing_from(folder):
    """Import the packages from a folder, and restore the present ones."""
    present = {
        name: module
        for name, module in sys.modules.items()
        if name.partition('.')[0] in PACKAGES
    }
    for name in present:
        sys.modules.pop(name)
    sys.path.insert(0, str(folder))
    importlib.invalidate_caches()
    try:
        yield
    finally:
        sys.path.remove(str(folder))
        for name in tuple(sys.modules):
            if name.partition('.')[0] in PACKAGES:
                sys.modules.pop(name)
        sys.modules.update(present)
        importlib.invalidate_caches()


class MixedSystem(platform_system.LinkedSystem):
    """Run the gateways named in ``old_names`` with an old build's code."""

    def __init__(self, commit, old_names=(), seed=0):
        super().__init__(seed)
        self.code = load(commit)
        self.old_names = set(old_names)

    def add_gateway(self, name, zone='z1'):
        """Start a gateway, of the old build or the present one."""
        if name in self.old_names:
            with self._use_old_code():
                return super().add_gateway(name, zone)
        return super().add_gateway(name, zone)

    def stop(self, name):
        """Tell a gateway to stop; it finishes its requests first."""
        self.gateway_hosts[name].on_stop()

    def replace(self, name, *, is_old):
        """Start a gateway again with the old or the present build."""
        self.gateway_hosts[name].kill()
        self.old_names.discard(name)
        if is_old:
            self.old_names.add(name)
        return self.add_gateway(name)

    def list_links(self, name):
        """Return the names of the entries to which a gateway is linked."""
        return set(self.gateways[name].peers.open_links)

    def are_all_linked(self):
        """Return whether each gateway is linked to all others."""
        names = set(self.gateways)
        return all(self.list_links(name) == names - {name} for name in names)

    @contextlib.contextmanager
    def _use_old_code(self):
        present = (
            platform_system.conf,
            platform_system.command,
            self.world.add_host,
        )
        platform_system.conf = self.code.conf
        platform_system.command = self.code.command
        self.world.add_host = self._add_old_host
        try:
            yield
        finally:
            (
                platform_system.conf,
                platform_system.command,
                self.world.add_host,
            ) = present

    def _add_old_host(self, name):
        host = self.code.virtual.Host(self.world, name)
        self.world.hosts[name] = host
        return host
