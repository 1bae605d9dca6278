"""Command line of the measurements: ``python -m proofs.measure SCENARIO``."""

from __future__ import annotations

import time
from typing import Annotated

import typer

from proofs.measurements.scenarios import SCENARIOS


def run(
    scenario: Annotated[str, typer.Argument(help=f"One of {', '.join(SCENARIOS)}, or all.")] = (
        "all"
    ),
    seed: Annotated[int, typer.Option(help="Seed of arrivals and service times.")] = 1,
    seconds: Annotated[
        float,
        typer.Option(
            help="Duration of each measured load, seconds; overload and resend ignore it, overhead "
            "divides it among six loads."
        ),
    ] = 10.0,
) -> None:
    """Run one scenario, or all of them, and print their figures."""
    if scenario != "all" and scenario not in SCENARIOS:
        raise typer.BadParameter(
            f"unknown scenario {scenario!r}; known: {', '.join(SCENARIOS)}, all"
        )
    for name, measure in SCENARIOS.items():
        if scenario in (name, "all"):
            print(f"{name} (seed {seed}, {time.strftime('%Y-%m-%d')}): {measure.__doc__}")
            measure(seed, seconds)


if __name__ == "__main__":
    typer.run(run)
