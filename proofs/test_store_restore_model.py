"""Runs the model of restores of the store, and shows that it finds what it is to guard against."""

import pytest

from proofs.deletion_delay_model import run_model
from proofs.store_restore_model import Plan, PromiseBroken, RestoreModel
from rhubarbway.decisions.restored_items import Resolution, RestoredItems
from rhubarbway.services.copy_eras import CopyEras
from rhubarbway.services.registry import RegistryService

SEEDS = range(6)
# Calls a second that the store takes from all hosts, and pages of a list of 44,000 entries.
READS_PER_S = 2000
PAGES = 88
# Outages of 0.2 to 5 s, and copies of 1 to 10 s before.
DRILLS = [(10.0, 0.2, 1.0), (10.0, 1.0, 5.0), (10.0, 5.0, 9.0)]


def broken_promises(plan, *, seeds=SEEDS):
    """Return what the runs of a plan with these seeds break."""
    broken = []
    for seed in seeds:
        try:
            run_model(RestoreModel(plan=plan, seed=seed))
        except PromiseBroken as problem:
            broken.append((seed, str(problem)))
    return broken


def work_around(drill):
    """Return removals and starts of servers, and versions, before, in and after a drill."""
    begin, away, _ = drill
    instants = [begin - 7.0, begin - 4.1, begin - 2.0, begin - 0.4, begin + away + 1.0]
    return {
        "removals": dict(enumerate(instants)),
        "starts": dict(enumerate(instants, start=10)),
        "versions": [at + 0.3 for at in instants],
    }


class TestPromises:
    @pytest.mark.parametrize("drill", DRILLS)
    def test_servers_and_versions_over_one_restore(self, drill):
        """Guards against removed servers in use, living ones dropped, versions missed or taken
        back, and changes that come late, after a restore of the store.
        """
        assert broken_promises(Plan(drills=[drill], **work_around(drill))) == []

    @pytest.mark.parametrize("drill", DRILLS)
    @pytest.mark.parametrize("begin", [1.0, 6.0, 9.0])
    def test_an_evacuation_over_one_restore(self, drill, begin):
        """Guards against requests to a zone to be empty, and a zone that stays empty."""
        for end in (begin + 2.0, begin + 12.0):
            assert broken_promises(Plan(drills=[drill], evacuations=[(begin, end)])) == []

    def test_two_restores_within_seconds(self):
        """Guards against hosts of three eras that mix what they know of one with another."""
        for gap in (0.5, 1.5, 3.0):
            drills = [(10.0, 0.5, 4.0), (10.5 + gap, 0.5, 5.0)]
            assert broken_promises(Plan(drills=drills, **work_around(drills[0]))) == []

    def test_hosts_that_restart_or_are_cut_off(self):
        """Guards against hosts that miss the restore, or know nothing from before it."""
        drill = (10.0, 1.0, 5.0)
        plan = Plan(
            drills=[drill],
            restarts=[(9.0, 1), (10.5, 3), (11.2, 0), (12.0, 4)],
            cuts=[(9.5, 13.0, 2), (8.0, 16.0, 4)],
            **work_around(drill),
        )
        assert broken_promises(plan) == []


class TestCalls:
    @pytest.mark.parametrize("hosts", [9, 27])
    def test_few_hosts_list_the_store_after_a_restore(self, hosts):
        """Guards against a list by each host that reads the store. 27 hosts read it in a fleet of
        300 whose copies are stale after an outage.
        """
        for seed in SEEDS:
            model = RestoreModel(plan=Plan(drills=[(10.0, 4.0, 5.0)], hosts=hosts), seed=seed)
            run_model(model)
            busiest = max(
                sum(at <= other < at + 1.0 for other in model.lists) for at in model.lists
            )
            assert busiest * PAGES < READS_PER_S


class TestMutations:
    """Without a rule of restores, the model finds a broken promise."""

    DRILL = (10.0, 1.0, 5.0)

    def test_finds_that_revisions_alone_are_compared(self, monkeypatch):
        """Guards against a model that passes if eras are ignored."""
        monkeypatch.setattr(CopyEras, "accepts", lambda self, era, **_: True)
        monkeypatch.setattr(RegistryService, "begin_era", lambda self, era, **_: False)
        assert self.is_found()

    def test_finds_that_hosts_do_not_tell_each_other_of_an_era(self, monkeypatch):
        """Guards against a model that passes if messages between hosts carry no era."""
        monkeypatch.setattr(CopyEras, "era_of", lambda self, stated: self.store_copy.era)
        assert self.is_found()

    def test_finds_that_what_the_copy_lacks_counts_as_deleted(self, monkeypatch):
        """Guards against a model that passes if the gaps of a listing are deletions at once."""
        monkeypatch.setattr(RestoredItems, "missing_until", lambda self, key: float("-inf"))
        assert self.is_found()

    def test_finds_that_each_listed_item_counts_as_new(self, monkeypatch):
        """Guards against a model that passes if old entries of removed servers come back."""
        resolution = Resolution.LISTED
        monkeypatch.setattr(RestoredItems, "resolution", lambda self, *_, **__: resolution)
        assert self.is_found()

    def is_found(self):
        return broken_promises(Plan(drills=[self.DRILL], **work_around(self.DRILL)))
