"""Commands of ``rhubarbway``: check files, query entry hosts, and run load tests."""

from __future__ import annotations

import uuid
from enum import Enum
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Success

from rhubarbway.client import CallerConnection, LoadPlan, reply_summary, run_load
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import JsonError, decode_json, encode_json
from rhubarbway.manifest import manifest_from_bytes
from rhubarbway.manifest.load import MANIFEST_LIMIT_BYTES
from rhubarbway.settings import settings_from_bytes

STATUS_TIMEOUT_S = 5.0
EXIT_FAILED = 1
EXIT_USAGE = 2

app = typer.Typer(
    add_completion=False, help="Checks files, queries entry hosts, and runs load tests."
)


class DocumentKind(Enum):
    """Kind of a file to check: ``AUTO`` detects it, ``SETTINGS`` are those of ``rhubarbwayd``."""

    AUTO = "auto"
    MANIFEST = "manifest"
    SETTINGS = "settings"


PARSERS = {
    DocumentKind.MANIFEST: manifest_from_bytes,
    DocumentKind.SETTINGS: settings_from_bytes,
}


def guess_document_kind(data: bytes) -> DocumentKind:
    """Guess the kind of a file: only manifests contain tenants, services or prefixes.

    Examples
    --------
    >>> guess_document_kind(b'{"version": 1, "tenants": []}').value
    'manifest'
    >>> guess_document_kind(b'{listen: "127.0.0.1:80"}').value
    'settings'
    """
    is_manifest = any(word in data for word in (b'"tenants"', b'"services"', b'"prefixes"'))
    return DocumentKind.MANIFEST if is_manifest else DocumentKind.SETTINGS


@app.command()
def check(
    file: Annotated[
        Path,
        typer.Argument(help="Manifest (JSON), or settings of rhubarbwayd (JSON with comments)."),
    ],
    kind: Annotated[
        DocumentKind, typer.Option(help="Kind of the file; auto detects it.")
    ] = DocumentKind.AUTO,
) -> None:
    """Validate a manifest or settings file and print up to 1000 findings; exit code 1 if any."""
    try:
        with file.open("rb") as stream:
            # One byte beyond the limit is enough for a finding that the file is too large.
            data = stream.read(MANIFEST_LIMIT_BYTES + 1)
    except OSError as error:
        typer.echo(f"cannot read {file}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    chosen = guess_document_kind(data) if kind is DocumentKind.AUTO else kind
    result = PARSERS[chosen](data, source=str(file))
    if isinstance(result, Success):
        typer.echo(f"{file}: valid {chosen.value}")
        return
    for finding in result.failure():
        typer.echo(str(finding))
    raise typer.Exit(EXIT_FAILED)


@app.command()
def query(
    address: Annotated[str, typer.Argument(help="IP:PORT of an entry host.")],
    job: Annotated[str, typer.Argument(help="Job name.")],
    *,
    payload: Annotated[str, typer.Option(help="JSON value for the backend servers.")] = "null",
    deadline_ms: Annotated[
        int | None, typer.Option(help="Deadline, milliseconds; by default the tenant's.")
    ] = None,
    min_coverage: Annotated[
        float | None, typer.Option(help="Minimum coverage, 0 to 1; by default the tenant's.")
    ] = None,
    unsafe: Annotated[
        bool,
        typer.Option("--unsafe", help="The query is not safe to repeat: run it at most once."),
    ] = False,
    request_id: Annotated[
        str | None, typer.Option(help="Identifier of the request; by default random.")
    ] = None,
) -> None:
    """Send one query and print snapshot, coverage and answer; exit code 1 on failure."""
    try:
        value = decode_json(payload.encode())
    except JsonError as error:
        typer.echo(f"--payload is not valid JSON: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    connection = CallerConnection(address=address)
    reply = connection.query(
        request_id=request_id or uuid.uuid4().hex,
        job=job,
        payload=value,
        deadline_ms=deadline_ms,
        min_coverage=min_coverage,
        unsafe=unsafe,
    )
    connection.close()
    typer.echo(reply_summary(reply))
    if reply.failure is not None:
        raise typer.Exit(EXIT_FAILED)
    typer.echo(bytes(reply.body.shards).decode())


@app.command()
def status(
    address: Annotated[
        str,
        typer.Argument(help="IP:PORT of an entry host; of a gateway, the address of its metrics."),
    ],
) -> None:
    """Print the status of an entry host; exit code 1 if it is not ready or sends no valid reply."""
    connection = HttpConnection(address=address)
    try:
        ready = connection.call("GET", "/v1/ready", None, timeout_s=STATUS_TIMEOUT_S)
        report = connection.call("GET", "/v1/status", None, timeout_s=STATUS_TIMEOUT_S)
        values = decode_json(report.body)
    except (CallError, JsonError) as error:
        typer.echo(f"cannot read the status of {address}: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from None
    finally:
        connection.close()
    typer.echo(f"ready: {'yes' if ready.status == 200 else 'no'}")
    for name, value in values.items():
        typer.echo(f"{name}: {value if isinstance(value, str) else encode_json(value).decode()}")
    if ready.status != 200:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def load(
    addresses: Annotated[list[str], typer.Argument(help="IP:PORT of one or more entry hosts.")],
    job: Annotated[list[str], typer.Option(help="Job name; may be repeated.")],
    *,
    concurrency: Annotated[
        int, typer.Option(help="Connections, each with one query in flight.")
    ] = 4,
    duration: Annotated[float, typer.Option(help="Duration of the test, seconds.")] = 5.0,
    rate: Annotated[
        float | None,
        typer.Option(
            help="Queries per second over all connections; by default, each connection sends its "
            "next query at once after a reply."
        ),
    ] = None,
    deadline_ms: Annotated[
        int | None, typer.Option(help="Deadline, milliseconds; by default the tenant's.")
    ] = None,
) -> None:
    """Run a load test and print latency, coverage and failures.

    The exit code is 1 if no query was answered.
    """
    try:
        plan = LoadPlan(
            addresses=addresses,
            jobs=job,
            concurrency=concurrency,
            duration_s=duration,
            rate=rate,
            deadline_ms=deadline_ms,
        )
    except ValueError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from None
    report = run_load(plan)
    for line in report.lines():
        typer.echo(line)
    if not report.answered:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def demo() -> None:
    """Run both example deployments, then gateways of the users' platform, on loopback."""
    from rhubarbway_standins.demo import main as run_demo

    run_demo()


def main() -> None:
    """Entry point of ``rhubarbway``."""
    app()
