"""Command line of the stand-ins: ``rhubarbway-standin``."""

from __future__ import annotations

import itertools
import signal
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from rhubarbway.edge.json_codec import encode_json
from rhubarbway_standins.backend import ReplicaServer, RunHistory, replica_specs_from_file
from rhubarbway_standins.config_service import ConfigService
from rhubarbway_standins.deployments import DEPLOYMENTS, generate_deployment
from rhubarbway_standins.fault_proxy import FaultProxy, routes_from_file
from rhubarbway_standins.host_list import HostList

app = typer.Typer(
    add_completion=False, help="Stand-ins for the services and servers that rhubarbwayd uses."
)


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def wait_for_signal() -> None:
    """Print ``ready`` and wait for SIGTERM or SIGINT."""
    print("ready", flush=True)
    signal.sigwait(STOP_SIGNALS)


def socket_address(text: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    Examples
    --------
    >>> socket_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


@app.command()
def backend(
    replicas: Annotated[
        Path, typer.Option(help="File with a JSON array of replica specifications.")
    ],
    history: Annotated[
        Path | None, typer.Option(help="File that records what the replicas run.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the service times.")] = 1,
) -> None:
    """Serve the replicas of a file until SIGTERM or SIGINT."""
    run_history = RunHistory(path=history)
    servers = [
        ReplicaServer(spec=s, history=run_history, seed=seed)
        for s in replica_specs_from_file(replicas)
    ]
    wait_for_signal()
    for server in servers:
        server.server.stop(grace_s=0.0)


@app.command()
def platform(
    configuration: Annotated[str, typer.Option(help="IP:PORT of the configuration service.")],
    hosts: Annotated[str, typer.Option(help="IP:PORT of the host list.")],
) -> None:
    """Serve the configuration service and the host list until SIGTERM or SIGINT."""
    config_service = ConfigService(address=socket_address(configuration))
    host_list = HostList(address=socket_address(hosts))
    wait_for_signal()
    config_service.server.stop(grace_s=0.0)
    host_list.server.stop(grace_s=0.0)


@app.command()
def proxy(
    routes: Annotated[
        Path, typer.Option(help="File with a JSON array of routes: name, listen, upstream.")
    ],
    control: Annotated[str, typer.Option(help="IP:PORT of the control endpoint.")],
) -> None:
    """Serve the fault-injecting proxy until SIGTERM or SIGINT."""
    fault_proxy = FaultProxy(routes=routes_from_file(routes.read_bytes()), control=control)
    wait_for_signal()
    fault_proxy.stop()


@app.command()
def manifest(
    deployment: Annotated[str, typer.Argument(help="scoica-neagra or dinas-kaligrafi.")],
    first_port: Annotated[int, typer.Option(help="First of the consecutive ports used.")] = 20000,
) -> None:
    """Print the manifest of an example deployment, on loopback addresses."""
    if deployment not in DEPLOYMENTS:
        raise typer.BadParameter(
            f"unknown deployment {deployment!r}; known: {', '.join(DEPLOYMENTS)}"
        )
    generated = generate_deployment(
        DEPLOYMENTS[deployment](), ports=itertools.count(first_port), version=1
    )
    typer.echo(msgspec.json.format(encode_json(generated.document), indent=1).decode())


def main() -> None:
    """Entry point of ``rhubarbway-standin``."""
    # The operating system may deliver a signal to any thread that does not block it, and a handler
    # then does not wake the main thread. Threads inherit this mask, so only ``sigwait`` takes them.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    app()


if __name__ == "__main__":
    main()
