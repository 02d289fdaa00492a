"""Runs the places of a fuzzing run on seeded inputs."""

import contextlib
import time
from typing import Any

import hypothesis

from hyssopwind.core import decoding
from hyssopwind.standins.fuzzing import places

EXAMPLE_COUNT = 200
# No input may hold up the event loop for long: all requests wait meanwhile.
MAX_READ_SECONDS = 0.5


class SlowReadError(AssertionError):
    """A place takes too long for its input."""


def find_places(pattern: str = "") -> list[str]:
    """Returns the names of the places that contain a text."""
    return [name for name in places.PLACES if pattern in name]


def collect_inputs(name: str, seed: int, count: int) -> list[Any]:
    """Returns inputs of a place, to be given to running processes."""
    inputs: list[Any] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(data=places.PLACES.find(name).inputs)
    def collect(data: Any) -> None:
        inputs.append(data)

    collect()
    return inputs


def fuzz(name: str, seed: int, example_count: int = EXAMPLE_COUNT) -> int:
    """Fuzzes one place; returns the number of inputs.

    Args:
        name: name of the place.
        seed: seed of the inputs.
        example_count: most inputs.

    Raises:
        Exception: the place failed at an input; the notes of the exception
            name the smallest such input.
    """
    place = places.PLACES.find(name)
    count = 0

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=example_count,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(data=place.inputs)
    def check(data: Any) -> None:
        nonlocal count
        count += 1
        started_at = time.process_time()
        with contextlib.suppress(decoding.DecodeError):
            place.read(data)
        elapsed_seconds = time.process_time() - started_at
        if elapsed_seconds > MAX_READ_SECONDS:
            raise SlowReadError(f"{elapsed_seconds:.2f} s for one input")

    check()
    return count
