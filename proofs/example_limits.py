"""Pytest plugin that limits the processor time of Hypothesis tests in place of their wall time.

By wall time, an example that is fast alone exceeds the deadline while other processes use the host.
The deadline of Hypothesis is therefore off, and its health check for slow generation allows more
wall time without a deadline. Both have a counterpart here, with the default limits of Hypothesis.
State machines are not covered: Hypothesis sets no deadline for them by default either.
"""

import functools
import gc
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import settings
from hypothesis.errors import FailedHealthCheck

PROFILE = "processor-time"
EXAMPLE_LIMIT_S = 0.2
# Limit of the generation of the first examples, without the examples themselves.
GENERATION_LIMIT_S = 1.0
CHECKED_EXAMPLES = 10

# The profile in force is the parent, since Hypothesis chooses another one on CI systems. The option
# ``--hypothesis-profile`` is applied later and overrides this one.
settings.register_profile(PROFILE, settings(), deadline=None)
settings.load_profile(PROFILE)


class ExampleTooSlowError(AssertionError):
    """One example takes more processor time than ``EXAMPLE_LIMIT_S``."""


class CollectorTime(threading.local):
    """Processor time of the current thread in the garbage collector, seconds."""

    started_at = 0.0
    total_s = 0.0


collector_time = CollectorTime()


def count_collection(phase: str, info: dict[str, int]) -> None:
    """Add the processor time of a collection; ``gc`` calls this before and after each one."""
    if phase == "start":
        collector_time.started_at = time.thread_time()
    else:
        collector_time.total_s += time.thread_time() - collector_time.started_at


gc.callbacks.append(count_collection)


def processor_time() -> float:
    """Return the processor time of this thread, without the garbage collector, seconds.

    Hypothesis leaves out collections, too: their time depends on the objects of earlier tests.
    """
    return time.thread_time() - collector_time.total_s


def limit_processor_time(test: Callable[..., Any]) -> Callable[..., Any]:
    """Return the test function with limits of its processor time, for one run of the test."""
    resumed_at = processor_time()
    generation_s = 0.0
    examples = 0

    @functools.wraps(test)
    def limited(*args: Any, **kwargs: Any) -> Any:
        nonlocal resumed_at, generation_s, examples
        started_at = processor_time()
        generation_s += started_at - resumed_at
        examples += 1
        if examples <= CHECKED_EXAMPLES and generation_s > GENERATION_LIMIT_S:
            raise FailedHealthCheck(
                f"Generation of {examples} examples takes {generation_s:.2f} s of processor time, "
                f"which exceeds the limit of {GENERATION_LIMIT_S} s."
            )
        try:
            result = test(*args, **kwargs)
        except BaseException:
            # As in Hypothesis, a failure ends the health check, since shrinking takes time as well.
            examples = CHECKED_EXAMPLES
            raise
        finally:
            resumed_at = processor_time()
        if resumed_at - started_at > EXAMPLE_LIMIT_S:
            examples = CHECKED_EXAMPLES
            raise ExampleTooSlowError(
                f"The example takes {1000 * (resumed_at - started_at):.0f} ms of processor time, "
                f"which exceeds the limit of {1000 * EXAMPLE_LIMIT_S:.0f} ms."
            )
        return result

    return limited


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Iterator[None]:
    """Limit the processor time of the item if it is a Hypothesis test."""
    handle = getattr(getattr(item, "obj", None), "hypothesis", None)
    if handle is None:
        return (yield)
    test = handle.inner_test
    handle.inner_test = limit_processor_time(test)
    try:
        return (yield)
    finally:
        handle.inner_test = test
