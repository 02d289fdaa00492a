"""Runs the unit tests and the doctests of all packages.

Tests that KNOWN-RED.txt lists are printed and not counted as failed if they
fail. Without a pattern, a listed test that passes counts as failed, so that the
list stays correct.
"""

import argparse
import collections
import doctest
import importlib
import pathlib
import sys
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / "KNOWN-RED.txt"


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


def load_tests(pattern: str) -> unittest.TestSuite:
    """Returns the unit tests and doctests whose ids contain `pattern`."""
    suite = unittest.TestSuite()
    loader = unittest.defaultTestLoader
    for name in find_modules(tests=True):
        suite.addTests(_select(loader.loadTestsFromName(name), pattern))
    for name in find_modules(tests=False):
        module = importlib.import_module(name)
        suite.addTests(_select(doctest.DocTestSuite(module), pattern))
    return suite


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


def main() -> int:
    """Runs the tests and prints how many passed and failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", nargs="?", default="")
    arguments = parser.parse_args()
    suite = load_tests(arguments.pattern)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed_ids = {
        getattr(test, "test_case", test).id()
        for test, _ in result.failures + result.errors
    }
    counts: collections.Counter[str] = collections.Counter()
    known_red = read_known_red()
    for name, line in known_red.items():
        if name in failed_ids:
            print(f"known red: {line}")
            counts["known"] += 1
        elif not arguments.pattern:
            print(f"listed in KNOWN-RED.txt but green: {name}")
            counts["failed"] += 1
    counts["failed"] += len(failed_ids - known_red.keys())
    passed = result.testsRun - len(failed_ids) - len(result.skipped)
    print(f"{passed} passed, {counts['failed']} failed")
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
