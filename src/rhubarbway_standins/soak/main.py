"""Command ``rhubarbway-soak``: runs seeded soak tests and reports failed checks."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from rhubarbway_standins.soak.report import write_report
from rhubarbway_standins.soak.run import run_soak

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def run(
    *,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Number of runs, each with the next seed.")] = 1,
    seconds: Annotated[float, typer.Option(min=4.0, help="Duration of a run, seconds.")] = 15.0,
    hosts: Annotated[int, typer.Option(min=1, help="Number of entry hosts.")] = 3,
    logs: Annotated[Path | None, typer.Option(help="Directory for logs of failed runs.")] = None,
    report: Annotated[Path | None, typer.Option(help="Directory for a plot of each run.")] = None,
) -> None:
    """Run the soak test; the exit code is 1 if a check failed."""
    failed = 0
    for seed in range(first_seed, first_seed + seeds):
        typer.echo(f"seed {seed}: started")
        result = run_soak(
            seed=seed,
            duration_s=seconds,
            hosts=hosts,
            progress=lambda line, seed=seed: typer.echo(f"seed {seed}: {line}"),
            kept_logs=logs,
        )
        typer.echo(
            f"seed {seed}: {len(result.faults)} faults, {len(result.requests)} requests, "
            f"{result.served_share:.3f} of them served, {len(result.problems)} problems"
        )
        for problem in result.problems:
            typer.echo(f"  {problem}")
        if result.problems:
            typer.echo(f"  {result.pause_line}")
        if report is not None:
            report.mkdir(parents=True, exist_ok=True)
            write_report(result, report / f"soak-{seed}.png")
        failed += bool(result.problems)
    raise typer.Exit(code=min(failed, 1))


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
