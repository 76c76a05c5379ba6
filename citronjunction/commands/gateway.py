"""citron-gateway: serve callers on the users' platform."""

# Comes first, since the other imports take as long as a signal needs to arrive.
from citronjunction.commands import reload_signals

from typing import Annotated

import expression
import typer

from citronjunction.commands import common
from citronjunction.conf import budgets, loader
from citronjunction.conf import models as conf
from citronjunction.gateway import adapters, node, scraping
from citronjunction.observability import output
from citronjunction.platform import (
    cloud,
    directory,
    kv_cache_moves,
    object_decoder,
    object_store,
    request_codec,
)
from citronjunction.store import eras
from citronjunction.transport import http_server, runtime

app = typer.Typer(add_completion=False)
SETTINGS_VARIABLE = 'CITRONJUNCTION_NODE_FILE'


def build_node(
    loop: runtime.Runtime,
    settings: conf.Settings,
    config: str,
) -> node.GatewayNode:
    """Build a gateway with the platform's adapter and its listeners."""
    budgets.limit_http(settings)
    store_eras = eras.Eras(loop.timers)
    store = object_store.ObjectStore(
        loop.client,
        settings.platform.object_api,
        store_eras,
    )
    adapter = adapters.Adapter(
        request_codec.PlatformCodec(),
        object_decoder.PlatformDecoder(),
        store,
        store_eras,
        cloud.Cloud(loop.client, settings.platform.cloud_api),
        kv_cache_moves.KvCacheMover(loop.client),
    )
    gateway = node.GatewayNode(loop, settings, adapter)
    listeners = settings.listeners
    for name, address, application in (
        (
            'directory',
            listeners.directory,
            directory.Directory(
                gateway.list_addresses,
                settings.gateway.keep_addresses_s,
            ),
        ),
        (
            'readiness',
            listeners.readiness,
            directory.Readiness(gateway.is_ready),
        ),
        (
            'metrics',
            listeners.metrics,
            scraping.build_routes(gateway.services.counts),
        ),
    ):
        server = http_server.HttpServer(
            loop.sockets,
            loop.timers,
            settings.http,
            application,
            gateway.callers,
            name,
        )
        server.listen(*node.split_address(address))
    loop.watch_reload(lambda: reload_settings(gateway, config))
    reload_signals.pass_on(lambda: reload_settings(gateway, config))
    return gateway


def reload_settings(gateway: node.GatewayNode, config: str) -> None:
    """Reload the seeds, the only setting that can change at run time."""
    match loader.load_usable_file(config, common.log_replaced):
        case expression.Result(tag='ok', ok=settings):
            gateway.settings.membership.seeds = settings.membership.seeds
            gateway.log.write('reload', config, seeds=settings.membership.seeds)
        case expression.Result(error=problems):
            gateway.log.write(
                'reload failed',
                config,
                problems=[str(problem) for problem in problems],
            )


@app.command()
def run(
    config: Annotated[
        str,
        typer.Option(
            '--config',
            help='settings file in INI',
            metavar='FILE.ini',
            envvar=SETTINGS_VARIABLE,
        ),
    ],
    check: common.CheckOption = False,
    version: common.VersionOption = False,
) -> None:
    """Serve callers; SIGTERM starts a graceful shutdown."""
    output.start_logging()
    common.run_node(
        config,
        lambda loop, settings: build_node(loop, settings, config),
        only_check=check,
        is_lenient=True,
    )


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
