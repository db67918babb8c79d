"""Play soaks by hand: `python -m tests.soak --seeds 10 [--first 1] [--nodes 5] [--rounds 2]`.

With `--from COMMIT` each start of a node runs the sources of that commit or those here, by chance:
builds serve side by side, and nodes go forth and back between them.

A seed draws the same troubles in the same order; what they meet depends on the machine's time as
well, so a seed that found something may need to be played more than once.
"""

import argparse
import secrets
import shutil
import sys
import tempfile
from pathlib import Path

from tests.soak.former import extract_sources
from tests.soak.soak import SoakPlan, run_soak

MAX_FINDINGS_SHOWN = 12


def main() -> int:
    """Play seeds one after another; 1 means that something was found."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", type=int, default=5, help="how many seeds")
    parser.add_argument("--first", type=int, help="the first seed; drawn if left out")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--from", dest="former", metavar="COMMIT", help="a build beside this one")
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="soak-build-") as folder:
        former = extract_sources(asked.former, Path(folder)) if asked.former else None
        return run_seeds(asked, former)


def run_seeds(asked: argparse.Namespace, former: Path | None) -> int:
    """Play all seeds that were asked for."""
    first = asked.first if asked.first is not None else secrets.randbelow(1_000_000)
    failed = 0
    for seed in range(first, first + asked.seeds):
        result = run_soak(SoakPlan(seed, asked.nodes, rounds=asked.rounds, former_build=former))
        print(
            f"seed {seed}: {len(result.findings)} findings, {result.attempts} attempts, "
            f"{result.served} served, {len(result.faults)} events, "
            f"{result.former_starts} lives of the former build",
            flush=True,
        )
        if result.findings:
            failed += 1
            for finding in result.findings[:MAX_FINDINGS_SHOWN]:
                print(f"  {finding}")
            (result.folder / "events").write_text("\n".join(result.faults + result.stalls) + "\n")
            print(f"  logs kept in {result.folder.name} of the temporary folder", flush=True)
        else:
            shutil.rmtree(result.folder, ignore_errors=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
