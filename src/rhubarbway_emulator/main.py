"""Command ``rhubarbway-emulate``: runs named load patterns and prints their results."""

from __future__ import annotations

from typing import Annotated

import typer

from rhubarbway_emulator.experiment import result_table, run_pattern
from rhubarbway_emulator.patterns import PATTERNS
from rhubarbway_emulator.rankings import RANKINGS
from rhubarbway_emulator.server_load import load_table

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def emulate(
    names: Annotated[
        list[str] | None, typer.Argument(help="Names of patterns; without names, all are run.")
    ] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Number of runs of each pattern.")] = 3,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    ranking: Annotated[
        str, typer.Option(help=f"Ranking of replicas: {', '.join(RANKINGS)}.")
    ] = "product",
) -> None:
    """Run load patterns in virtual time."""
    unknown = sorted(set(names or ()) - PATTERNS.keys())
    if unknown:
        raise typer.BadParameter(
            f"unknown patterns: {', '.join(unknown)}; known: {', '.join(PATTERNS)}"
        )
    if ranking not in RANKINGS:
        raise typer.BadParameter(f"unknown ranking: {ranking}; known: {', '.join(RANKINGS)}")
    for name in names or PATTERNS:
        pattern = PATTERNS[name]
        results = [
            run_pattern(pattern, seed=first_seed + number, ranking=ranking)
            for number in range(seeds)
        ]
        attempt_ratio = sum(result.attempt_ratio for result in results) / seeds
        cross_zone_share = sum(result.cross_zone_attempts for result in results) / sum(
            r.arrived_attempts for r in results
        )
        value = sum(result.mean_value for result in results) / seeds
        typer.echo(f"{name}: {pattern.title}")
        rows = result_table(pattern, results)
        for row in rows + load_table([result.loads for result in results]):
            typer.echo("  " + "".join(cell.rjust(9) for cell in row))
        typer.echo(
            f"  mean value of a request {value:.3f} (0 to 1), "
            f"{attempt_ratio:.3f} attempts for each first attempt, "
            f"{cross_zone_share:.2f} of the attempts to another zone"
        )
        if pattern.burst_factors is not None:
            burst_value = sum(result.burst_value(pattern.kinds) for result in results) / seeds
            typer.echo(f"  value of the burst, by worth of each kind: {burst_value:.3f}")


def main() -> None:
    """Run the command."""
    app()


if __name__ == "__main__":
    main()
