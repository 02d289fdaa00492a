"""Runs the unit tests and the doctests of all packages.

Tests in virtual time run in several processes. Tests with real processes,
sockets or wall-clock bounds set `RUNS_ALONE` in their class or module and run
one after the other; in the other processes, sockets and child processes raise
an error.

Tests that KNOWN-RED.txt lists are printed and not counted as failed if they
fail. Without a pattern, a listed test that passes counts as failed, so that the
list stays correct.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import doctest
import importlib
import multiprocessing
import os
import pathlib
import sys
import time
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"
RUNS_ALONE_ATTRIBUTE = "RUNS_ALONE"
# Audit events of calls that only tests with `RUNS_ALONE` may make.
FORBIDDEN_EVENTS = frozenset(
    {"socket.bind", "socket.connect", "subprocess.Popen", "os.posix_spawn"}
)
# Groups that are printed with their durations.
SLOWEST_COUNT = 10


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TestGroup:
    """Tests that run in one process, as they share fixtures and caches.

    Attributes:
        module: name of the module that defines the tests.
        class_name: name of their class; empty for the doctests of the module.
    """

    module: str
    class_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class GroupResult:
    """Results of the tests of a group.

    Attributes:
        group: the group.
        run_count: number of tests that ran.
        skipped_count: number of tests that were skipped.
        tracebacks: tracebacks of the failed tests by test id.
        seconds: wall time of the group.
    """

    group: TestGroup
    run_count: int
    skipped_count: int
    tracebacks: dict[str, str]
    seconds: float


def find_modules(*, tests: bool) -> Iterator[str]:
    """Yields the names of the test modules, or of all other modules."""
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    for source_directory in sorted(sources):
        for path in sorted(source_directory.rglob("*.py")):
            is_test = path.name.startswith("test_")
            if is_test != tests or path.name == "__init__.py":
                continue
            if not tests and "tests" in path.parts:
                continue
            relative = path.relative_to(source_directory).with_suffix("")
            yield ".".join(relative.parts)


def load_group(group: TestGroup, pattern: str) -> list[unittest.TestCase]:
    """Returns the tests of a group whose ids contain `pattern`."""
    module = importlib.import_module(group.module)
    if not group.class_name:
        return list(_select(doctest.DocTestSuite(module), pattern))
    suite = unittest.defaultTestLoader.loadTestsFromTestCase(
        getattr(module, group.class_name)
    )
    return list(_select(suite, pattern))


def find_groups(pattern: str) -> dict[TestGroup, list[unittest.TestCase]]:
    """Returns the groups with tests whose ids contain `pattern`."""
    groups: dict[TestGroup, list[unittest.TestCase]] = {}
    for name in find_modules(tests=True):
        suite = unittest.defaultTestLoader.loadTestsFromName(name)
        for test in _select(suite, pattern):
            # A module that fails to import yields a test of the loader.
            group = TestGroup(type(test).__module__, type(test).__name__)
            groups.setdefault(group, []).append(test)
    for name in find_modules(tests=False):
        group = TestGroup(name, "")
        tests = load_group(group, pattern)
        if tests:
            groups[group] = tests
    return groups


def runs_alone(group: TestGroup) -> bool:
    """Returns whether the tests of a group need real time or sockets."""
    module = importlib.import_module(group.module)
    test_class = getattr(module, group.class_name, module)
    return bool(
        getattr(
            test_class,
            RUNS_ALONE_ATTRIBUTE,
            getattr(module, RUNS_ALONE_ATTRIBUTE, False),
        )
    )


def run_group(group: TestGroup, pattern: str) -> GroupResult:
    """Runs the tests of a group in this process."""
    started_at = time.monotonic()
    result = unittest.TestResult()
    unittest.TestSuite(load_group(group, pattern)).run(result)
    tracebacks = {}
    for test, traceback in result.failures + result.errors:
        test_id = getattr(test, "test_case", test).id()
        tracebacks[test_id] = tracebacks.get(test_id, "") + traceback
    return GroupResult(
        group,
        result.testsRun,
        len(result.skipped),
        tracebacks,
        time.monotonic() - started_at,
    )


def forbid_real_io() -> None:
    """Makes sockets and child processes raise an error in this process."""

    def check_event(event: str, arguments: tuple[object, ...]) -> None:
        del arguments
        if event in FORBIDDEN_EVENTS:
            raise RuntimeError(
                f"{event} in a test without {RUNS_ALONE_ATTRIBUTE} = True"
            )

    sys.addaudithook(check_event)


def _select(
    tests: unittest.TestSuite | unittest.TestCase, pattern: str
) -> Iterator[unittest.TestCase]:
    if isinstance(tests, unittest.TestCase):
        if pattern in tests.id():
            yield tests
        return
    for test in tests:
        yield from _select(test, pattern)


def read_known_red() -> dict[str, str]:
    """Returns the lines of KNOWN-RED.txt by test id."""
    if not KNOWN_RED_PATH.exists():
        return {}
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    entries = {}
    for line in lines:
        if line.strip() and not line.startswith("#"):
            entries[line.split()[0].rstrip(";")] = line
    return entries


def run_groups(
    groups: dict[TestGroup, list[unittest.TestCase]], pattern: str, jobs: int
) -> Iterator[GroupResult]:
    """Runs all groups and yields each result as soon as it is known."""
    context = multiprocessing.get_context("spawn")
    with (
        concurrent.futures.ProcessPoolExecutor(1, context) as alone,
        concurrent.futures.ProcessPoolExecutor(
            jobs, context, forbid_real_io
        ) as parallel,
    ):
        futures = {}
        for group in groups:
            executor = alone if runs_alone(group) else parallel
            futures[executor.submit(run_group, group, pattern)] = group
        for future in concurrent.futures.as_completed(futures):
            group = futures[future]
            try:
                yield future.result()
            except Exception as error:  # The process of the group has ended.
                tests = groups[group]
                yield GroupResult(
                    group,
                    len(tests),
                    0,
                    {test.id(): f"{error!r}\n" for test in tests},
                    0.0,
                )


def main() -> int:
    """Runs the tests and prints how many passed and failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", nargs="?", default="")
    parser.add_argument(
        "--jobs",
        type=int,
        default=max(1, (os.cpu_count() or 1) // 2),
        help="processes for tests in virtual time",
    )
    arguments = parser.parse_args()
    started_at = time.monotonic()
    groups = find_groups(arguments.pattern)
    known_red = read_known_red()
    counts: collections.Counter[str] = collections.Counter()
    failed_ids: set[str] = set()
    durations = []
    for result in run_groups(groups, arguments.pattern, arguments.jobs):
        durations.append((result.seconds, result.group))
        failed_ids.update(result.tracebacks)
        counts["passed"] += (
            result.run_count - result.skipped_count - len(result.tracebacks)
        )
        for test_id, traceback in result.tracebacks.items():
            title = "known red" if test_id in known_red else "FAILED"
            print(f"{title}: {test_id}\n{traceback}", flush=True)
    for name, line in known_red.items():
        if name in failed_ids:
            print(f"known red: {line}")
        elif not arguments.pattern:
            print(f"listed in KNOWN-RED.txt but green: {name}")
            counts["failed"] += 1
    counts["failed"] += len(failed_ids - known_red.keys())
    for seconds, group in sorted(durations, reverse=True)[:SLOWEST_COUNT]:
        print(f"{seconds:7.1f} s  {group.module}.{group.class_name}")
    print(
        f"{time.monotonic() - started_at:.0f} s, of which tests "
        f"{sum(seconds for seconds, _ in durations):.0f} s in all processes"
    )
    print(f"{counts['passed']} passed, {counts['failed']} failed")
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
