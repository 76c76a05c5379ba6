"""citron-standin: small stand-ins for the systems outside."""

import json
from typing import Annotated

import typer

from citronjunction.commands import common
from citronjunction.conf import models as conf
from citronjunction.standins import (
    cloud,
    engine,
    object_api,
    service,
    weight_store,
)
from citronjunction.transport import http_client, http_server, runtime

app = typer.Typer(add_completion=False, no_args_is_help=True)

PortOption = Annotated[int, typer.Option(help='TCP port; 0 picks one')]
NameOption = Annotated[str, typer.Option(help='name of the host')]
VersionsOption = Annotated[str, typer.Option(help='versions, by comma')]
CloudOption = Annotated[str, typer.Option(help='cloud to register at')]
ZoneOption = Annotated[str, typer.Option(help='data centre')]
UpstreamOption = Annotated[str, typer.Option(help='upstream it belongs to')]
ADDRESS = '127.0.0.1'


@app.callback()
def configure(version: common.VersionOption = False) -> None:
    """Run one stand-in; each prints READY and its ports."""


def serve(
    loop: runtime.Runtime,
    application: http_server.Application,
    port: int,
) -> int:
    """Listen for an application; return the port."""
    served = http_server.HttpServer(
        loop.sockets,
        loop.timers,
        conf.Http(),
        application,
    )
    return served.listen(ADDRESS, port)


def register(
    loop: runtime.Runtime,
    cloud_api: str,
    host: dict[str, object],
) -> None:
    """Tell the cloud stand-in that a host has started."""
    if not cloud_api:
        return
    call = http_client.Call(
        cloud_api,
        'POST',
        '/register',
        body=json.dumps(host).encode(),
    )
    loop.client.send(
        call,
        http_client.ReplyCollector(lambda _: None, lambda _: None),
    )


@app.command()
def platform(
    port: PortOption = 0,
    lag: Annotated[float, typer.Option(help='host list lag, s')] = 1.0,
) -> None:
    """Run Object API, cloud API, host list and weight store."""
    loop = runtime.Runtime()
    store = object_api.ObjectApi(loop)
    offers = cloud.Cloud(loop)
    listed = cloud.HostList(loop, offers, lag)
    weights = weight_store.WeightStore(loop)
    ports = [
        serve(loop, store.routes, port),
        serve(loop, offers.routes, 0),
        serve(loop, listed.routes, 0),
        serve(loop, weights.routes, 0),
    ]
    typer.echo(f'READY {" ".join(str(held) for held in ports)}')
    loop.run()


@app.command(name='engine')
def run_engine(
    name: NameOption = 'engine-1',
    upstream: UpstreamOption = 'atelier-llm',
    zone: ZoneOption = 'casa-voyageurs',
    versions: VersionsOption = 'v1',
    cloud_api: CloudOption = '',
    port: PortOption = 0,
    price: Annotated[float, typer.Option(help='price of the host')] = 1.0,
    fencing: Annotated[bool, typer.Option(help='check fencing')] = True,
    step: Annotated[float, typer.Option(help='batch step, s')] = 0.02,
    slots: Annotated[int, typer.Option(help='requests at once')] = 16,
    per_job: Annotated[float, typer.Option(help='step time a job, s')] = 0.0005,
) -> None:
    """Run a model engine."""
    loop = runtime.Runtime()
    batch_options = engine.batch.BatchOptions(slots, step, per_job)
    options = engine.EngineOptions(
        name,
        versions.split(','),
        fencing,
        batch_options=batch_options,
    )
    held = engine.Engine(loop, options)
    bound = serve(loop, held.routes, port)
    host = {
        'name': name,
        'address': f'{ADDRESS}:{bound}',
        'upstream': upstream,
        'zone': zone,
        'price': price,
    }
    register(loop, cloud_api, host)
    typer.echo(f'READY {bound}')
    loop.run()


@app.command(name='service')
def run_service(
    name: NameOption = 'service-1',
    upstream: UpstreamOption = 'magasin-app',
    zone: ZoneOption = 'casa-voyageurs',
    versions: VersionsOption = 'v1',
    cloud_api: CloudOption = '',
    port: PortOption = 0,
    work: Annotated[float, typer.Option(help='time of a call, s')] = 0.01,
) -> None:
    """Run a plain service."""
    loop = runtime.Runtime()
    held = service.Service(loop, versions.split(','), work)
    bound = serve(loop, held.routes, port)
    host = {
        'name': name,
        'address': f'{ADDRESS}:{bound}',
        'upstream': upstream,
        'zone': zone,
    }
    register(loop, cloud_api, host)
    typer.echo(f'READY {bound}')
    loop.run()


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
