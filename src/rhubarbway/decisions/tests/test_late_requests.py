"""Tests of the requests that a stopping host begins."""

import pytest

from rhubarbway.decisions.late_requests import ANSWER_WRITE_S, fits_before_cut, latest_send_at
from rhubarbway.model import ForwardedRequest, Route

TIMEOUT_S = 4.0
TARGET_S = 0.5
LAST_ANSWER_S = 5.0
CUT_S = LAST_ANSWER_S + ANSWER_WRITE_S


class TestFitsBeforeCut:
    @pytest.mark.parametrize(
        ("idempotent", "received_s", "deadline_s", "fits"),
        [
            (False, 0.9, 60.0, True),
            (False, 1.1, 60.0, False),
            (False, 4.9, 5.0, True),
            (True, 1.1, 60.0, True),
            (True, 4.4, 60.0, True),
            (True, 4.6, 60.0, False),
        ],
    )
    def test_only_a_request_that_can_be_answered_before_the_cut_begins(
        self, idempotent, received_s, deadline_s, fits
    ):
        """Guards against requests that are taken late and cut, among them unsafe ones."""
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            idempotent=idempotent,
            timeout_s=TIMEOUT_S,
            target_latency_s=TARGET_S,
        )
        request = ForwardedRequest(
            request_id="1",
            method="POST",
            target="/",
            host="h",
            received_at=received_s,
            deadline=deadline_s,
        )
        assert fits_before_cut(request, route, cut_at=CUT_S) is fits


class TestLatestSendAt:
    @pytest.mark.parametrize(
        ("idempotent", "limit_s", "latest_s"),
        [(True, 60.0, LAST_ANSWER_S - 0.3), (False, 60.0, float("-inf")), (False, 4.5, 4.5)],
    )
    def test_leaves_time_for_the_exchange_or_for_the_whole_time_limit(
        self, idempotent, limit_s, latest_s
    ):
        """Guards against a waiting request that a stopping host sends and then cuts."""
        route = Route(
            name="r",
            host="h",
            path_prefix="/",
            idempotent=idempotent,
            timeout_s=60.0,
            target_latency_s=TARGET_S,
        )
        request = ForwardedRequest(
            request_id="1", method="POST", target="/", host="h", received_at=0.0, deadline=limit_s
        )
        assert latest_send_at(
            request, route, exchange_s=0.3, answer_by=LAST_ANSWER_S
        ) == pytest.approx(latest_s)
