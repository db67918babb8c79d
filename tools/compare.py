"""Plays variants of the sources against each other on the same days and seeds.

A variant is `NAME=REF` or `NAME=REF-MECHANISM`: the checkout of a git ref, with a mechanism of
`tools.ablation` taken out. Each is cloned into a folder of its own, and every day is played with
every seed by a program that plays days (`PROGRAM run SITE DAY --seed N`) and leaves an entry in the
checkout's journal. Plays that are there already are not played again, so a run that was stopped
goes on. The table has the differences from the first variant, paired by site, day and seed, with
bootstrap intervals of their mean, and how many plays it takes to show a difference of 0.01.
"""

import argparse
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import product
from math import ceil
from pathlib import Path

import msgspec
import numpy as np

from tools.ablation import ABLATIONS, ROOT, apply_ablation

RESULTS_FILE = "results.jsonl"
RESAMPLES = 4_000
DETECTABLE_DIFFERENCE = 0.01
"""Difference in worth that the number of plays is worked out for."""

Z95 = 1.96
PLAY_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Variant:
    """Sources to play: a git ref, and a mechanism that is taken out, if any."""

    name: str
    ref: str
    without: str = ""


class Play(msgspec.Struct, frozen=True):
    """One day played: what was played, and its worth."""

    variant: str
    site: str
    day: str
    seed: int
    worth: float
    broken: bool = False

    @property
    def pair(self) -> tuple[str, str, int]:
        """Return what plays of two variants have in common."""
        return self.site, self.day, self.seed


class DayRecord(msgspec.Struct):
    """A day of a journal entry; other fields are passed over. Worth is not cut at 1 there."""

    worth: float = msgspec.field(name="G")


class EntryRecord(msgspec.Struct):
    """A journal entry."""

    ok: bool
    days: list[DayRecord] = []


@dataclass(frozen=True, slots=True)
class Difference:
    """A variant against the first one: the mean difference of pairs and its interval."""

    pairs: int
    mean: float
    low: float
    high: float
    plays_needed: int


def parse_variant(text: str) -> Variant:
    """Read `NAME=REF` or `NAME=REF-MECHANISM`; ValueError if it is neither."""
    name, found, rest = text.partition("=")
    if not found or not name or not rest:
        raise ValueError(f"{text!r} is not NAME=REF")
    for ablation in ABLATIONS:
        if rest.endswith("-" + ablation.name):
            return Variant(name, rest.removesuffix("-" + ablation.name), ablation.name)
    return Variant(name, rest)


def paired_difference(plays: Iterable[Play], base: str, variant: str) -> Difference | None:
    """Return how a variant differs from the base where both were played."""
    by_pair: dict[str, dict[tuple[str, str, int], float]] = {base: {}, variant: {}}
    for play in plays:
        if play.variant in by_pair:
            by_pair[play.variant][play.pair] = play.worth
    both = by_pair[base].keys() & by_pair[variant].keys()
    if not both:
        return None
    gaps = np.array([by_pair[variant][pair] - by_pair[base][pair] for pair in sorted(both)])
    return _summarize(gaps)


def _summarize(gaps: "np.typing.NDArray[np.float64]") -> Difference:
    """Return the mean of differences with its bootstrap interval (percentiles, 95 in 100)."""
    chance = np.random.default_rng(0)
    means = chance.choice(gaps, (RESAMPLES, len(gaps))).mean(axis=1)
    low, high = np.percentile(means, (2.5, 97.5))
    spread = float(gaps.std(ddof=1)) if len(gaps) > 1 else 0.0
    needed = ceil((Z95 * spread / DETECTABLE_DIFFERENCE) ** 2)
    return Difference(len(gaps), float(gaps.mean()), float(low), float(high), needed)


def table(plays: Sequence[Play], variants: Sequence[Variant]) -> list[str]:
    """Return the rows of the table, all sites together and each by itself."""
    base = variants[0].name
    rows = [
        "| variant | site | pairs | difference | 95 in 100 | plays for 0.01 | broken |",
        "|---|---|---|---|---|---|---|",
    ]
    sites = sorted({play.site for play in plays})
    for variant, site in product(variants[1:], ["all", *sites]):
        here = [play for play in plays if site in ("all", play.site)]
        found = paired_difference(here, base, variant.name)
        if found is None:
            continue
        broken = sum(play.broken for play in here if play.variant == variant.name)
        rows.append(
            f"| {variant.name} | {site} | {found.pairs} | {found.mean:+.4f} "
            f"| {found.low:+.4f} to {found.high:+.4f} | {found.plays_needed} | {broken} |"
        )
    return rows


class Runner:
    """Plays what is missing, a few days at a time."""

    def __init__(self, program: Path, folder: Path, small: bool) -> None:
        self._program = program
        self._folder = folder
        self._small = small
        self.plays = self._read()

    def _read(self) -> list[Play]:
        file = self._folder / RESULTS_FILE
        if not file.exists():
            return []
        return [msgspec.json.decode(line, type=Play) for line in file.read_bytes().splitlines()]

    def prepare(self, variant: Variant) -> None:
        """Clone a variant unless it is there."""
        folder = self._folder / variant.name
        if folder.exists():
            return
        subprocess.run(["git", "clone", "--quiet", str(ROOT), str(folder)], check=True)
        subprocess.run(["git", "checkout", "--quiet", variant.ref], cwd=folder, check=True)
        for ablation in ABLATIONS:
            if ablation.name == variant.without:
                apply_ablation(ablation, folder)

    def run(
        self, variants: Sequence[Variant], jobs: Iterable[tuple[Path, str, int]], at_once: int
    ) -> None:
        """Play each job with each variant."""
        done = {(play.variant, *play.pair) for play in self.plays}
        todo = [
            (variant, site, day, seed)
            for (site, day, seed), variant in product(jobs, variants)
            if (variant.name, site.stem, day, seed) not in done
        ]
        with ThreadPoolExecutor(at_once) as pool:
            for play in pool.map(lambda job: self._play_day(*job), todo):
                if play is not None:
                    self._save(play)

    def _save(self, play: Play) -> None:
        self.plays.append(play)
        with (self._folder / RESULTS_FILE).open("ab") as file:
            file.write(msgspec.json.encode(play) + b"\n")
        print(f"{play.variant} {play.site} {play.day} {play.seed}: {play.worth:.3f}", flush=True)

    def _play_day(self, variant: Variant, site: Path, day: str, seed: int) -> Play | None:
        """Play one day; None if it left no entry."""
        folder = self._folder / variant.name
        # Paths are not kept in entries, by which plays are told apart.
        why = f"compare {variant.name}: {site.stem} {Path(day).stem} seed {seed}"
        command = [str(self._program), "run", str(site), day, "--seed", str(seed), "--why", why]
        command += ["--small"] if self._small else []
        before = set((folder / "journal").glob("*.json"))
        outcome = subprocess.run(
            command, cwd=folder, capture_output=True, timeout=PLAY_TIMEOUT_S, check=False
        )
        entry = self._find_entry(folder, before, why)
        if entry is None or not entry.days:
            print(f"{why}: no entry, exit code {outcome.returncode}", file=sys.stderr)
            return None
        return Play(variant.name, site.stem, day, seed, entry.days[0].worth, not entry.ok)

    def _find_entry(self, folder: Path, before: set[Path], why: str) -> EntryRecord | None:
        """Return the entry that a play left, told from those of others by its reason."""
        for path in sorted(set((folder / "journal").glob("*.json")) - before):
            raw = path.read_bytes()
            if why.encode() in raw:
                return msgspec.json.decode(raw, type=EntryRecord)
        return None


def main() -> int:
    """Run the tool."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.compare", description=(__doc__ or "").partition("\n")[0]
    )
    parser.add_argument("--program", type=Path, required=True, help="plays days")
    parser.add_argument("--folder", type=Path, required=True, help="for clones and results")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", type=int, action="append", required=True)
    parser.add_argument("--variant", action="append", required=True, help="NAME=REF[-MECHANISM]")
    parser.add_argument("--small", action="store_true", help="play small twins")
    parser.add_argument("--at-once", type=int, default=2)
    options = parser.parse_args()
    try:
        variants = [parse_variant(each) for each in options.variant]
    except ValueError as error:
        parser.error(str(error))
    runner = Runner(options.program.resolve(), options.folder, options.small)
    options.folder.mkdir(parents=True, exist_ok=True)
    for variant in variants:
        runner.prepare(variant)
    jobs = list(product([site.resolve() for site in options.site], options.day, options.seed))
    runner.run(variants, jobs, options.at_once)
    print("\n".join(table(runner.plays, variants)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
