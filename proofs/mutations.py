"""Mutations that remove one check each; ``python -m proofs.mutations`` runs the tests with each.

The checks are replaced in the test process only, so the product contains no switch. Each mutation
runs in a process that is forked after the imports, which take most of the time of a short run.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
from collections.abc import Callable

import hypothesis  # noqa: F401  # Imported before the processes are forked.
import pytest

from proofs import history
from rhubarbway.decisions import coverage
from rhubarbway.edge import wire
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.edge.json_codec import hex_digest
from rhubarbway.model import Coverage, ExecutionStatus
from rhubarbway.services.replica_pool import ReplicaPool

PROCESSES = 4

WIRE_TESTS = "src/rhubarbway/edge/tests/test_wire.py"
CLIENT_TESTS = "src/rhubarbway/edge/tests/test_http_client.py"
POOL_TESTS = "src/rhubarbway/services/tests/test_replica_pool.py"
COVERAGE_TESTS = "src/rhubarbway/decisions/tests/test_coverage.py"
CHECKER_TESTS = "proofs/test_history.py"


class Mutation:
    """A function that removes one check, and the tests that must fail without the check."""

    __slots__ = ("remove", "tests")

    def __init__(self, *, remove: Callable[[], None], tests: str) -> None:
        self.remove = remove
        self.tests = tests


def trust_replies(**trusted: Callable[[wire.SubQueryReply, object], object]) -> None:
    """Replace fields of each reply by the values that the checks expect."""
    classify_reply = wire.classify_reply

    def classify_trusted_reply(sub_query, reply):
        for name, value in trusted.items():
            setattr(reply, name, value(reply, sub_query))
        return classify_reply(sub_query, reply)

    wire.classify_reply = classify_trusted_reply


def trust_identity() -> None:
    """Accept replies to other attempts."""
    trust_replies(attempt=lambda reply, sub_query: str(sub_query.attempt))


def trust_shard() -> None:
    """Accept replies of other services, layouts and shards."""
    trust_replies(
        service=lambda reply, sub_query: sub_query.service,
        layout=lambda reply, sub_query: sub_query.layout,
        shard=lambda reply, sub_query: sub_query.shard,
    )


def trust_snapshot() -> None:
    """Accept answers from other snapshots."""
    trust_replies(snapshot=lambda reply, sub_query: sub_query.snapshot)


def trust_digest() -> None:
    """Accept items that do not match their length and digest."""
    trust_replies(
        length=lambda reply, sub_query: len(bytes(reply.items)),
        digest=lambda reply, sub_query: hex_digest(bytes(reply.items)),
    )


def allow_reopening() -> None:
    """Let libcurl open another socket during a call."""
    open_socket = HttpConnection.open_socket

    def mutated(self, purpose, address):
        self.may_open = True
        return open_socket(self, purpose, address)

    HttpConnection.open_socket = mutated


def keep_dead_connections() -> None:
    """Treat an idle connection as usable, whatever arrived on it."""
    HttpConnection.is_open = property(lambda self: self.sock is not None)


def claim_nothing_was_sent() -> None:
    """Report for each failed call that no byte of it was sent."""
    call_error = HttpConnection.call_error

    def mutated(self, error):
        found = call_error(self, error)
        return CallError(str(found), sent=False, connecting=True, timed_out=found.timed_out)

    HttpConnection.call_error = mutated


def claim_not_run() -> None:
    """Report each attempt without an answer as not run."""
    make_outcome = ReplicaPool.make_outcome

    def mutated(self, attempt, kind, ran, detail=""):
        return make_outcome(self, attempt, kind, ExecutionStatus.NOT_RUN, detail)

    ReplicaPool.make_outcome = mutated


def claim_complete_coverage() -> None:
    """State complete coverage in every answer."""
    compute_coverage = coverage.compute_coverage

    def mutated(service, answers, miss_reasons):
        found = compute_coverage(service, answers, miss_reasons)
        return Coverage(
            shards_total=found.shards_total,
            shards_answered=found.shards_total,
            fraction=1.0,
            missing=(),
        )

    coverage.compute_coverage = mutated


def disable_check(name: str) -> Callable[[], None]:
    """Return a function that disables one check of the checker."""

    def remove() -> None:
        setattr(history, name, lambda *arguments, **options: [])

    return remove


# Some checks appear twice: the tests of the message format must notice that the check is missing,
# and so must those of the connection tasks ("on the connection").
MUTATIONS = {
    "attempt identity": Mutation(remove=trust_identity, tests=WIRE_TESTS),
    "attempt identity on the connection": Mutation(remove=trust_identity, tests=POOL_TESTS),
    "shard identity": Mutation(remove=trust_shard, tests=WIRE_TESTS),
    "snapshot": Mutation(remove=trust_snapshot, tests=WIRE_TESTS),
    "snapshot on the connection": Mutation(remove=trust_snapshot, tests=POOL_TESTS),
    "digest and length": Mutation(remove=trust_digest, tests=WIRE_TESTS),
    "digest and length on the connection": Mutation(remove=trust_digest, tests=POOL_TESTS),
    "refusal to reopen a socket": Mutation(remove=allow_reopening, tests=CLIENT_TESTS),
    "check of idle connections": Mutation(remove=keep_dead_connections, tests=CLIENT_TESTS),
    "proof that nothing was sent": Mutation(remove=claim_nothing_was_sent, tests=CLIENT_TESTS),
    "unknown outcomes": Mutation(remove=claim_not_run, tests=POOL_TESTS),
    "coverage": Mutation(remove=claim_complete_coverage, tests=COVERAGE_TESTS),
    "checker of snapshots": Mutation(
        remove=disable_check("snapshot_violations"), tests=CHECKER_TESTS
    ),
    "checker of coverage": Mutation(
        remove=disable_check("coverage_violations"), tests=CHECKER_TESTS
    ),
    "checker of identity": Mutation(
        remove=disable_check("identity_violations"), tests=CHECKER_TESTS
    ),
    "checker of refusals": Mutation(
        remove=disable_check("refusal_violations"), tests=CHECKER_TESTS
    ),
    "checker of repetitions": Mutation(
        remove=disable_check("repetition_violations"), tests=CHECKER_TESTS
    ),
}


def exit_code_without_guard(name: str) -> int:
    """Remove a check in this process, run its tests quietly, and return pytest's exit code."""
    null_device = os.open(os.devnull, os.O_WRONLY)
    for descriptor in (1, 2):
        os.dup2(null_device, descriptor)
    mutation = MUTATIONS[name]
    mutation.remove()
    return int(pytest.main(["-x", "-p", "no:cacheprovider", mutation.tests]))


def main() -> None:
    """Print a line for each mutation: the exit code of its tests and its name."""
    context = multiprocessing.get_context("fork")
    with context.Pool(PROCESSES, maxtasksperchild=1) as pool:
        codes = pool.map(exit_code_without_guard, MUTATIONS, chunksize=1)
    for name, code in zip(MUTATIONS, codes, strict=True):
        print(code, name)
    sys.exit(0)


if __name__ == "__main__":
    main()
