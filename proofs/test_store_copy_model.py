"""Explores all orders of a few steps in which hosts propagate their copies of the store."""

import pytest

from proofs import store_copy_model
from proofs.store_copy_model import (
    SERVER_REMOVED,
    InvariantViolation,
    explore,
    violated_invariant_with_deferral,
)
from rhubarbway.decisions.store_copy import StoreCopy


class TestAllOrders:
    def test_no_order_of_four_changes_on_two_hosts_violates_an_invariant(self):
        """Guards against a deleted server that stays in use, and an older configuration that
        returns.
        """
        # An exploration of only a few states would miss most orders.
        assert explore(hosts=2, restarts=0) > 10_000

    def test_no_order_of_steps_with_a_restart_violates_an_invariant(self, monkeypatch):
        """Guards against a deleted server that stays in use when a host restarts with no copy."""
        monkeypatch.setattr(store_copy_model, "HISTORY", SERVER_REMOVED)
        assert explore(hosts=2, restarts=1) > 10_000

    def test_no_order_of_steps_with_deferred_deletions_violates_an_invariant(self, monkeypatch):
        """Guards against a deleted server that stays in use at a host which has come from another
        host, if the hosts have deferred the deletion for different times.
        """
        monkeypatch.setattr(store_copy_model, "HISTORY", SERVER_REMOVED)
        check = violated_invariant_with_deferral
        assert explore(hosts=2, restarts=0, deferral=True, check=check) > 10_000


class TestChecker:
    """Without a rule of the copies, the checker finds the violation that the rule prevents."""

    def test_finds_a_deleted_server_that_a_follower_keeps(self, monkeypatch):
        """Guards against a checker that misses a deleted server kept by a follower. When the
        copy of a host becomes complete, its followers have to get the whole copy, because its
        log lacks the deletions from before.
        """
        monkeypatch.setattr(StoreCopy, "mark_complete", lambda self: None)
        with pytest.raises(InvariantViolation, match="held though it was deleted"):
            explore(hosts=2, restarts=0)

    def test_finds_a_deleted_server_that_an_older_change_restores(self, monkeypatch):
        """Guards against a checker that misses a deleted server brought back by an older change."""
        apply_one = StoreCopy.apply_one

        def apply_without_deletions(store_copy, item):
            store_copy.revision, kept = 0, store_copy.revision
            try:
                return apply_one(store_copy, item)
            finally:
                store_copy.revision = kept
                store_copy.tombstones.clear()

        monkeypatch.setattr(StoreCopy, "apply_one", apply_without_deletions)
        with pytest.raises(InvariantViolation, match="held though it was deleted"):
            explore(hosts=2, restarts=0)

    def test_finds_a_deletion_that_a_copy_from_another_host_does_not_know(self, monkeypatch):
        """Guards against a checker that misses a deleted server kept by a host which changes the
        host that it follows. A host that got a whole copy does not know earlier deletions.
        """
        monkeypatch.setattr(StoreCopy, "record_unknown_deletions", lambda self, _: None)
        monkeypatch.setattr(store_copy_model, "HISTORY", SERVER_REMOVED)
        with pytest.raises(InvariantViolation, match="held though it was deleted"):
            explore(hosts=2, restarts=0)
