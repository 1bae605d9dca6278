"""Callers outside the limits against a gateway with little memory and few descriptors.

Nothing here depends on the speed of the machine: a gateway must live, stay within its settings, and
answer an ordinary request while the crowd still holds its connections.
"""

import contextlib

import pytest

from proofs.slow_callers import crowd, descriptor_count, peak_bytes, request_head
from rhubarbway_standins.platform.consumer import send_once
from rhubarbway_standins.platform.gateways import GatewayProcesses
from rhubarbway_standins.platform.site import (
    SEARCH_PREFIX,
    SINGLE_PREFIX,
    VIRTUAL_HOST,
    Site,
)
from rhubarbway_standins.processes import free_ports

# Memory of the gateways here; the smallest host of the users' sheets has 152 MB.
MEMORY_MB = 112
# Descriptors of the gateways here, and those of them that are not for sockets.
MAX_DESCRIPTORS = 500
RESERVED_DESCRIPTORS = 200
LONG_PREFIX = f"{SINGLE_PREFIX}long/"
LONG_SEARCH_PREFIX = f"{SEARCH_PREFIX}long/"
LONG_BYTES = 2_000_000
READERS = 64
SEARCHES = 32
SENDERS = 96
IDLE_CALLERS = 400
MAX_BODY_BYTES = 1_000_000


@pytest.fixture
def gateway(tmp_path):
    """The address and the process of one gateway whose servers give long answers to some."""
    site = Site(ports=free_ports())
    limits = {"maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 10_000, "idleTimeoutMs": 60_000}
    document = site.configuration()
    site.publish(document | {"limits": document["limits"] | limits})
    for replica in site.replicas:
        replica.padding_bytes = lambda target: LONG_BYTES if "/long/" in target else 0
    with contextlib.ExitStack() as stack:
        stack.enter_context(site)
        gateways = GatewayProcesses(
            site=site,
            directory=tmp_path,
            count=1,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        stack.enter_context(gateways)
        yield gateways.addresses[0], gateways.processes[0]


def check_holds_out(address, process):
    """Check that the gateway lives within its settings and answers an ordinary request."""
    assert send_once(address, host=VIRTUAL_HOST, target=f"{SINGLE_PREFIX}1").status == 200
    assert process.is_running
    assert peak_bytes(process) < MEMORY_MB * 2**20
    assert descriptor_count(process) <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


class TestSlowReaders:
    def test_callers_that_read_nothing_of_long_answers(self, gateway):
        """Guards against answers not yet sent that fill the memory of a host."""
        address, process = gateway
        messages = [request_head(f"{LONG_PREFIX}{number}") for number in range(READERS)]
        with crowd(address, messages, awaits_reply=True):
            check_holds_out(address, process)

    def test_callers_that_pipeline_requests_and_read_nothing(self, gateway):
        """Guards against pipelined requests whose answers gather while nobody reads."""
        address, process = gateway
        messages = [
            b"".join(request_head(f"{LONG_PREFIX}{number}/{part}") for part in range(8))
            for number in range(READERS)
        ]
        with crowd(address, messages, awaits_reply=True):
            check_holds_out(address, process)


class TestFanOuts:
    def test_many_searches_at_once_whose_parts_are_long(self, gateway):
        """Guards against the parts of many fan-outs that fill the memory before they are merged."""
        address, process = gateway
        messages = [request_head(f"{LONG_SEARCH_PREFIX}{number}") for number in range(SEARCHES)]
        with crowd(address, messages, awaits_reply=True, group_size=SEARCHES):
            check_holds_out(address, process)

    def test_one_search_with_long_parts_is_served_in_calm(self, gateway):
        """Guards against a bound on the memory of callers that leaves out parts in calm."""
        address, process = gateway
        reply = send_once(address, host=VIRTUAL_HOST, target=f"{LONG_SEARCH_PREFIX}1")
        assert (reply.status, reply.headers["x-missing-shards"]) == (200, "0")
        check_holds_out(address, process)


class TestSingleRequest:
    def test_one_long_answer_is_served_in_calm(self, gateway):
        """Guards against a bound on the memory of callers that refuses a request in calm."""
        address, process = gateway
        for number in range(3):
            reply = send_once(address, host=VIRTUAL_HOST, target=f"{LONG_PREFIX}{number}")
            assert (reply.status, len(reply.body) > LONG_BYTES) == (200, True)
        check_holds_out(address, process)


class TestUnfinishedRequests:
    def test_callers_whose_bodies_never_end(self, gateway):
        """Guards against request bodies that fill the memory of a host before they are complete."""
        address, process = gateway
        head = request_head(
            f"{SINGLE_PREFIX}1", method="POST", headers=f"Content-Length: {MAX_BODY_BYTES}\r\n"
        )
        messages = [head + bytes(MAX_BODY_BYTES - 1)] * SENDERS
        with crowd(address, messages, awaits_reply=False):
            check_holds_out(address, process)

    def test_callers_whose_heads_never_end(self, gateway):
        """Guards against heads that trickle and take all places of callers."""
        address, process = gateway
        messages = [request_head(f"{SINGLE_PREFIX}1")[:-4]] * IDLE_CALLERS
        with crowd(address, messages, awaits_reply=False):
            check_holds_out(address, process)


class TestIdleConnections:
    def test_callers_that_send_no_byte(self, gateway):
        """Guards against idle connections that take all descriptors and all places of callers."""
        address, process = gateway
        with crowd(address, [b""] * IDLE_CALLERS, awaits_reply=False):
            check_holds_out(address, process)
