"""Changes configurations of gateways behind narrow links, judged by callers."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
from typing import Any

from hyssopwind.standins.links import rig
from hyssopwind.standins.stops import rig as stop_rig

FAILURES = ("not_in_bound", "late_404", "late_old")


def main() -> int:
    """Runs phases; returns 1 if a version was not in force in time."""
    parser = argparse.ArgumentParser(description=__doc__)
    defaults = rig.RunSettings()
    parser.add_argument("--gateways", type=int, default=defaults.gateways)
    parser.add_argument(
        "--data-centres", type=int, default=defaults.data_centres
    )
    parser.add_argument(
        "--mbps",
        type=float,
        default=defaults.mbps,
        help="width of each direction of each link",
    )
    parser.add_argument(
        "--wide-gateways",
        type=int,
        default=defaults.wide_gateways,
        help="number of gateways with wider links",
    )
    parser.add_argument("--wide-mbps", type=float, default=defaults.wide_mbps)
    parser.add_argument(
        "--window",
        type=int,
        default=defaults.window_bytes,
        help="bytes of one connection that may wait for a link",
    )
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument(
        "--bound",
        type=float,
        default=defaults.bound_seconds,
        help="seconds from the acceptance until a version must be in force",
    )
    parser.add_argument(
        "--phases",
        default=",".join(rig.PHASES),
        help="phases in this order, separated by commas; %(default)s if not"
        " given. The phase `grow` should be the first.",
    )
    parser.add_argument("--logs", type=pathlib.Path, help="folder to keep logs")
    parser.add_argument("--report", type=pathlib.Path, help="file to append to")
    arguments = parser.parse_args()
    run_settings = rig.RunSettings(
        gateways=arguments.gateways,
        data_centres=arguments.data_centres,
        mbps=arguments.mbps,
        wide_gateways=arguments.wide_gateways,
        wide_mbps=arguments.wide_mbps,
        window_bytes=arguments.window,
        seed=arguments.seed,
        bound_seconds=arguments.bound,
    )
    lines: list[dict[str, Any]] = []

    def report(line: dict[str, Any]) -> None:
        lines.append(line)
        text = json.dumps(line)
        print(text, flush=True)
        if arguments.report:
            with arguments.report.open("a") as stream:
                stream.write(text + "\n")

    async def run(directory: pathlib.Path) -> None:
        await stop_rig.build(directory / "build")
        logs = arguments.logs or directory / "logs"
        logs.mkdir(parents=True, exist_ok=True)
        await rig.run_phases(
            run_settings,
            arguments.phases.split(","),
            directory / "build",
            logs,
            report,
        )

    with tempfile.TemporaryDirectory() as name:
        asyncio.run(run(pathlib.Path(name)))
    return int(any(line[key] for line in lines for key in FAILURES))


if __name__ == "__main__":
    sys.exit(main())
