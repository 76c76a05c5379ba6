"""citron-standin: run stand-ins for external systems."""

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

PortOption = Annotated[int, typer.Option(help='TCP port; 0 for any free port')]
NameOption = Annotated[str, typer.Option(help='name of the host')]
VersionsOption = Annotated[
    str, typer.Option(help='versions, separated by commas')
]
CloudOption = Annotated[
    str, typer.Option(help='address of the cloud API to register at')
]
ZoneOption = Annotated[str, typer.Option(help='data centre')]
UpstreamOption = Annotated[str, typer.Option(help='upstream of the worker')]
ADDRESS = '127.0.0.1'


@app.callback()
def configure(version: common.VersionOption = False) -> None:
    """Run a stand-in, which prints READY and its ports once it listens."""


def serve(
    loop: runtime.Runtime,
    application: http_server.Application,
    port: int,
) -> int:
    """Serve an application and return the port."""
    server = http_server.HttpServer(
        loop.sockets,
        loop.timers,
        conf.Http(),
        application,
    )
    return server.listen(ADDRESS, port)


def register(
    loop: runtime.Runtime,
    cloud_api: str,
    host: dict[str, object],
) -> None:
    """Register a host at the cloud API, if an address is set."""
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
    lag: Annotated[float, typer.Option(help='lag of the host list, s')] = 1.0,
) -> None:
    """Run the Object API, cloud API, host list and weight store."""
    loop = runtime.Runtime()
    store = object_api.ObjectApi(loop)
    cloud_standin = cloud.Cloud(loop)
    host_list = cloud.HostList(loop, cloud_standin, lag)
    weights = weight_store.WeightStore(loop)
    ports = [
        serve(loop, store.routes, port),
        serve(loop, cloud_standin.routes, 0),
        serve(loop, host_list.routes, 0),
        serve(loop, weights.routes, 0),
    ]
    typer.echo(f'READY {" ".join(str(bound_port) for bound_port in ports)}')
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
    fencing: Annotated[bool, typer.Option(help='check fencing tokens')] = True,
    step: Annotated[
        float, typer.Option(help='duration of a batch step, s')
    ] = 0.02,
    slots: Annotated[int, typer.Option(help='concurrent requests')] = 16,
    per_job: Annotated[
        float, typer.Option(help='added to a step per running job, s')
    ] = 0.0005,
) -> None:
    """Run a model engine and register it as a worker."""
    loop = runtime.Runtime()
    batch_options = engine.batch.BatchOptions(slots, step, per_job)
    options = engine.EngineOptions(
        name,
        versions.split(','),
        fencing,
        batch_options=batch_options,
    )
    model_engine = engine.Engine(loop, options)
    bound_port = serve(loop, model_engine.routes, port)
    host = {
        'name': name,
        'address': f'{ADDRESS}:{bound_port}',
        'upstream': upstream,
        'zone': zone,
        'price': price,
    }
    register(loop, cloud_api, host)
    typer.echo(f'READY {bound_port}')
    loop.run()


@app.command(name='service')
def run_service(
    name: NameOption = 'service-1',
    upstream: UpstreamOption = 'magasin-app',
    zone: ZoneOption = 'casa-voyageurs',
    versions: VersionsOption = 'v1',
    cloud_api: CloudOption = '',
    port: PortOption = 0,
    work: Annotated[float, typer.Option(help='duration of a call, s')] = 0.01,
) -> None:
    """Run a plain service and register it as a worker."""
    loop = runtime.Runtime()
    plain_service = service.Service(loop, versions.split(','), work)
    bound_port = serve(loop, plain_service.routes, port)
    host = {
        'name': name,
        'address': f'{ADDRESS}:{bound_port}',
        'upstream': upstream,
        'zone': zone,
    }
    register(loop, cloud_api, host)
    typer.echo(f'READY {bound_port}')
    loop.run()


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
