"""Runs soaks by hand: `python -m tests.soak --seeds 10 [--first 1] [--nodes 5] [--rounds 2]`.

With `--from COMMIT` each start of a node runs either the sources of that commit or those of this
working tree, chosen at random: both builds serve at the same time, and nodes are upgraded and
downgraded.

With `--overload` it runs the drill for overload and fair shares in place of faults.

A seed draws the same faults in the same order, but their effect also depends on the machine's
timing. A seed with findings may have to be run several times to reproduce them.
"""

import argparse
import secrets
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.former import extract_sources
from tests.soak.overload_drill import DrillPlan, run_drill
from tests.soak.soak import SoakPlan, run_soak

MAX_FINDINGS_SHOWN = 12


def main() -> int:
    """Run seeds one after another; return the exit code, which is 1 if a check found something."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument("--first", type=int, help="the first seed; random by default")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument(
        "--from", dest="former", metavar="COMMIT", help="run nodes of this commit as well"
    )
    parser.add_argument(
        "--scheduling", action="store_true", help="turn on scheduling and reclaim servers"
    )
    parser.add_argument(
        "--overload", action="store_true", help="run the drill for overload and fair shares"
    )
    parser.add_argument(
        "--without-odd-rows",
        action="store_true",
        help="let no other writer leave odd rows; with --from none does",
    )
    parser.add_argument(
        "--without-drills",
        action="store_true",
        help="leave out the drills of versions; with --from or --scheduling there are none",
    )
    arguments = parser.parse_args()
    if arguments.overload:
        return run_drills(arguments)
    with tempfile.TemporaryDirectory(prefix="soak-build-") as folder:
        former = extract_sources(arguments.former, Path(folder)) if arguments.former else None
        return run_seeds(arguments, former)


def first_seed(arguments: argparse.Namespace) -> int:
    """Return the first seed that was asked for, or a random one."""
    return arguments.first if arguments.first is not None else secrets.randbelow(1_000_000)


def run_drills(arguments: argparse.Namespace) -> int:
    """Run the overload drill with all requested seeds; return the exit code."""
    first = first_seed(arguments)
    failed = 0
    for seed in range(first, first + arguments.seeds):
        result = run_drill(DrillPlan(seed, arguments.nodes))
        found = Counter(finding.partition(":")[0] for finding in result.findings)
        print(f"seed {seed}: {dict(found)}; {result.summary}", flush=True)
        failed += report_findings(result.findings, result.folder, result.stalls)
    return 1 if failed else 0


def report_findings(findings: list[str], folder: Path, events: list[str]) -> bool:
    """Print findings and keep the folder of logs, or remove it; return whether there are any."""
    if not findings:
        shutil.rmtree(folder, ignore_errors=True)
        return False
    for finding in findings[:MAX_FINDINGS_SHOWN]:
        print(f"  {finding}")
    (folder / "events").write_text("\n".join(events) + "\n")
    print(f"  logs kept in {folder.name} in the temporary folder", flush=True)
    return True


def run_seeds(arguments: argparse.Namespace, former: Path | None) -> int:
    """Run all requested seeds; return the exit code."""
    first = first_seed(arguments)
    failed = 0
    for seed in range(first, first + arguments.seeds):
        result = run_soak(
            SoakPlan(
                seed,
                arguments.nodes,
                rounds=arguments.rounds,
                former_build=former,
                scheduling=arguments.scheduling,
                odd_rows=former is None and not arguments.without_odd_rows,
                version_drills=not (former or arguments.scheduling or arguments.without_drills),
            )
        )
        print(
            f"seed {seed}: {len(result.findings)} findings, {result.attempts} attempts, "
            f"{result.served} served, {len(result.faults)} events, "
            f"{result.former_starts} starts of the former build, "
            f"{result.continued} continued runs, {result.unframed} answers without framing, "
            f"{result.resumed} resumed streams",
            flush=True,
        )
        failed += report_findings(result.findings, result.folder, result.faults + result.stalls)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
