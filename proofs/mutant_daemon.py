"""The daemon without one of its mechanisms, to show that a test detects the absence.

``python -m proofs.mutant_daemon canary --settings FILE``
"""

from __future__ import annotations

import sys

from returns.result import Success

from rhubarbway import daemon
from rhubarbway.decisions.crash_suspects import CrashSuspects
from rhubarbway.decisions.tokens import TokenAction, TokenTable, TokenUse
from rhubarbway.services.crashes import CrashService
from rhubarbway.services.tokens import TokenService


def remove_token_binding():
    """Forget that a token was used, so that each request with it is dispatched."""
    begin_use = TokenTable.begin_use

    def begin_use_again(table, token, digest, now):
        result = begin_use(table, token, digest, now)
        if not isinstance(result, Success):
            return result
        entry = result.unwrap().entry
        entry.outcome = None
        return Success(TokenUse(action=TokenAction.DISPATCH, entry=entry))

    TokenTable.begin_use = begin_use_again


def remove_forwarding():
    """Run a request with the token of another entry host instead of forwarding it."""
    TokenService.forward_to_issuer = lambda service, query, token: service.outcome_response(
        service.queries.answer(query), query
    )


def remove_canary():
    """Send each query to all shards at once."""
    CrashService.needs_canary = lambda service, query, mode: False


def remove_quarantine():
    """Record crash suspects, but neither quarantine them nor limit their exposure.

    2 is the remaining exposure of a request that is neither suspected nor running.
    """
    CrashSuspects.quarantine_if_due = lambda suspects, digest, now: False
    CrashSuspects.remaining_exposure = lambda suspects, digest, running, now: 2


MUTATIONS = {
    "binding": remove_token_binding,
    "forwarding": remove_forwarding,
    "canary": remove_canary,
    "quarantine": remove_quarantine,
}

if __name__ == "__main__":
    MUTATIONS[sys.argv.pop(1)]()
    daemon.main()
