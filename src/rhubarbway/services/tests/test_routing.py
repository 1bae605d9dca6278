"""Tests of which configuration is in force when the store was restored from an older copy."""

from structlog.testing import capture_logs

from rhubarbway.model import CallerLimits, RoutingTable
from rhubarbway.services.routing import RoutingService

LIMITS = CallerLimits(
    max_header_bytes=1000, max_body_bytes=1000, header_timeout_s=1.0, idle_timeout_s=1.0
)


def table(version, document):
    return RoutingTable(
        version=version, routes=(), max_connections={}, limits=LIMITS, document=document
    )


class TestVersionGivenOutAgain:
    def test_other_content_of_a_later_era_is_followed_and_logged(self):
        """Guards against hosts that keep the content which the store has lost, while hosts that
        start get the one that the operator has written under the same version since.
        """
        routing = RoutingService()
        routing.expect = self.refuse_violations
        assert routing.offer(table(5, b"lost"), source="store", era=1)
        with capture_logs() as lines:
            assert routing.offer(table(5, b"written since"), source="store", era=2)
        assert routing.in_force.table.document == b"written since"
        assert "given out again" in lines[0]["event"] and lines[0]["version"] == 5

    def test_the_same_era_or_content_changes_nothing(self):
        """Guards against a configuration that is put into force again and again."""
        routing = RoutingService()
        routing.expect = self.refuse_violations
        assert routing.offer(table(5, b"a"), source="store", era=1)
        assert not routing.offer(table(5, b"b"), source="host", era=1)
        assert not routing.offer(table(5, b"a"), source="store", era=2)
        assert not routing.offer(table(4, b"c"), source="store", era=2)

    def refuse_violations(self, holds, name, **inputs):
        assert holds, name
