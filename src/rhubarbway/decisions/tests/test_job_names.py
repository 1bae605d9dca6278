"""Tests of job-name resolution."""

from rhubarbway.decisions.job_names import resolve_prefix
from rhubarbway.model import ExecutionStatus, FailureKind, JobPrefix, Manifest, PrefixStatus


def manifest_with(*prefixes):
    return Manifest(
        version=1,
        digest="",
        tenants={},
        services={},
        prefixes={prefix.prefix: prefix for prefix in prefixes},
        entry_hosts=(),
    )


def declared(name, *, status=PrefixStatus.CURRENT, service="desk", replaced_by=None):
    return JobPrefix(
        prefix=name,
        status=status,
        service=service,
        meaning=f"meaning of {name}",
        origin="old firm",
        replaced_by=replaced_by,
    )


class TestResolvePrefix:
    def test_longest_of_overlapping_prefixes_wins(self):
        """Guards against jobs of a longer prefix that go to the service of a shorter one."""
        manifest = manifest_with(declared("tomis"), declared("tomis-tanks", service="ledger"))
        assert resolve_prefix(manifest, "tomis-tanks-3").unwrap().service == "ledger"
        assert resolve_prefix(manifest, "tomis-lots").unwrap().service == "desk"

    def test_prefix_ends_at_a_separator(self):
        """Guards against a match of the prefix ``tom`` with the jobs of ``tomis``."""
        manifest = manifest_with(declared("tom"))
        assert resolve_prefix(manifest, "tomis-lots").failure().kind is FailureKind.JOB_UNKNOWN
        assert resolve_prefix(manifest, "tom.lots").unwrap().prefix == "tom"
        assert resolve_prefix(manifest, "tom").unwrap().prefix == "tom"

    def test_retired_prefix_names_its_replacement(self):
        """Guards against a refusal that does not tell the caller which prefix to use."""
        retired = declared("fax", status=PrefixStatus.RETIRED, service=None, replaced_by="desk")
        failure = resolve_prefix(manifest_with(retired), "fax-1").failure()
        assert failure.kind is FailureKind.JOB_RETIRED
        assert failure.ran is ExecutionStatus.NOT_RUN
        assert "'desk'" in failure.detail
