"""Fuzzes the places where data of others is decoded.

Prints the smallest input at which a place fails, for each place.
"""

import argparse
import sys
import time
import traceback

from hyssopwind.standins.fuzzing import running


def main() -> int:
    """Fuzzes all places until the time is over; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--place", default="", help="part of a name")
    arguments = parser.parse_args()
    deadline = time.monotonic() + arguments.seconds
    seed = arguments.seed
    example_count = 0
    while time.monotonic() < deadline:
        for name in running.find_places(arguments.place):
            try:
                example_count += running.fuzz(name, seed)
            except Exception:
                traceback.print_exc()
                print(f"failed: {name}; --place '{name}' --seed {seed}")
                return 1
        seed += 1
    print(
        f"{example_count} inputs, seeds {arguments.seed} to {seed - 1},"
        " no failure"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
