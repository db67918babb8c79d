"""Compares variants of the sources on the same days and seeds.

A variant is `NAME=REF` or `NAME=REF-MECHANISM`: the checkout of a git ref, with a mechanism of
`tools.ablation` removed. Each is cloned into a folder of its own. For every day and seed, a program
that plays days (`PROGRAM run SITE DAY --seed N`) leaves an entry in the journal of the clone. Plays
with a stored result are skipped, so an interrupted run can be resumed. The table has the
differences from the first variant, paired by site, day and seed, with bootstrap confidence
intervals of their mean, and the number of plays that it takes to detect a difference of 0.01.
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
RESAMPLES = 4_000  # of the bootstrap
DETECTABLE_DIFFERENCE = 0.01
"""Difference in worth that the number of needed plays is calculated for."""

Z95 = 1.96  # normal quantile of a two-sided 95% interval
PLAY_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Variant:
    """Sources to play: a git ref, and the mechanism that is removed from it, if any."""

    name: str
    ref: str
    without: str = ""


class Play(msgspec.Struct, frozen=True):
    """The result of one played day; `broken` if its journal entry is not ok."""

    variant: str
    site: str
    day: str
    seed: int
    worth: float
    broken: bool = False

    @property
    def pair(self) -> tuple[str, str, int]:
        """Key by which plays of two variants are paired."""
        return self.site, self.day, self.seed


class DayRecord(msgspec.Struct):
    """A day of a journal entry; other fields are ignored. Its worth is not capped at 1."""

    worth: float = msgspec.field(name="G")


class EntryRecord(msgspec.Struct):
    """A journal entry."""

    ok: bool
    days: list[DayRecord] = []


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean paired difference of a variant from the first one, with its confidence interval."""

    pairs: int
    mean: float
    low: float
    high: float
    plays_needed: int


def parse_variant(text: str) -> Variant:
    """Parse `NAME=REF` or `NAME=REF-MECHANISM`; raise ValueError if it is neither."""
    name, separator, rest = text.partition("=")
    if not separator or not name or not rest:
        raise ValueError(f"{text!r} is not NAME=REF")
    for ablation in ABLATIONS:
        if rest.endswith("-" + ablation.name):
            return Variant(name, rest.removesuffix("-" + ablation.name), ablation.name)
    return Variant(name, rest)


def paired_difference(plays: Iterable[Play], base: str, variant: str) -> Difference | None:
    """Return how a variant differs from the base where both were played, None if nowhere."""
    by_pair: dict[str, dict[tuple[str, str, int], float]] = {base: {}, variant: {}}
    for play in plays:
        if play.variant in by_pair:
            by_pair[play.variant][play.pair] = play.worth
    both = by_pair[base].keys() & by_pair[variant].keys()
    if not both:
        return None
    differences = np.array([by_pair[variant][pair] - by_pair[base][pair] for pair in sorted(both)])
    return _summarize(differences)


def _summarize(differences: "np.typing.NDArray[np.float64]") -> Difference:
    """Return the mean of the differences with its 95% bootstrap percentile interval."""
    rng = np.random.default_rng(0)
    means = rng.choice(differences, (RESAMPLES, len(differences))).mean(axis=1)
    low, high = np.percentile(means, (2.5, 97.5))
    deviation = float(differences.std(ddof=1)) if len(differences) > 1 else 0.0
    needed = ceil((Z95 * deviation / DETECTABLE_DIFFERENCE) ** 2)
    return Difference(len(differences), float(differences.mean()), float(low), float(high), needed)


def table(plays: Sequence[Play], variants: Sequence[Variant]) -> list[str]:
    """Return the rows of the table: each variant on all sites together, then on each site."""
    base = variants[0].name
    rows = [
        "| variant | site | pairs | difference | 95% interval | plays for 0.01 | broken |",
        "|---|---|---|---|---|---|---|",
    ]
    sites = sorted({play.site for play in plays})
    for variant, site in product(variants[1:], ["all", *sites]):
        selected = [play for play in plays if site in ("all", play.site)]
        result = paired_difference(selected, base, variant.name)
        if result is None:
            continue
        broken = sum(play.broken for play in selected if play.variant == variant.name)
        rows.append(
            f"| {variant.name} | {site} | {result.pairs} | {result.mean:+.4f} "
            f"| {result.low:+.4f} to {result.high:+.4f} | {result.plays_needed} | {broken} |"
        )
    return rows


class Runner:
    """Plays the days that have no stored result, several at once."""

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
        """Clone a variant and remove its mechanism, unless its folder exists."""
        folder = self._folder / variant.name
        if folder.exists():
            return
        subprocess.run(["git", "clone", "--quiet", str(ROOT), str(folder)], check=True)
        subprocess.run(["git", "checkout", "--quiet", variant.ref], cwd=folder, check=True)
        for ablation in ABLATIONS:
            if ablation.name == variant.without:
                apply_ablation(ablation, folder)

    def run(
        self, variants: Sequence[Variant], jobs: Iterable[tuple[Path, str, int]], concurrency: int
    ) -> None:
        """Play each job with each variant, unless it has a stored result."""
        done = {(play.variant, *play.pair) for play in self.plays}
        todo = [
            (variant, site, day, seed)
            for (site, day, seed), variant in product(jobs, variants)
            if (variant.name, site.stem, day, seed) not in done
        ]
        with ThreadPoolExecutor(concurrency) as pool:
            for play in pool.map(lambda job: self._play_day(*job), todo):
                if play is not None:
                    self._save(play)

    def _save(self, play: Play) -> None:
        self.plays.append(play)
        with (self._folder / RESULTS_FILE).open("ab") as file:
            file.write(msgspec.json.encode(play) + b"\n")
        print(f"{play.variant} {play.site} {play.day} {play.seed}: {play.worth:.3f}", flush=True)

    def _play_day(self, variant: Variant, site: Path, day: str, seed: int) -> Play | None:
        """Play one day; return None if it left no journal entry."""
        folder = self._folder / variant.name
        # Journal entries contain no paths, so the reason has to identify the variant.
        reason = f"compare {variant.name}: {site.stem} {Path(day).stem} seed {seed}"
        command = [str(self._program), "run", str(site), day, "--seed", str(seed), "--why", reason]
        command += ["--small"] if self._small else []
        before = set((folder / "journal").glob("*.json"))
        outcome = subprocess.run(
            command, cwd=folder, capture_output=True, timeout=PLAY_TIMEOUT_S, check=False
        )
        entry = self._find_entry(folder, before, reason)
        if entry is None or not entry.days:
            print(f"{reason}: no journal entry, exit code {outcome.returncode}", file=sys.stderr)
            return None
        return Play(variant.name, site.stem, day, seed, entry.days[0].worth, not entry.ok)

    def _find_entry(self, folder: Path, before: set[Path], reason: str) -> EntryRecord | None:
        """Return the new entry with a play's reason; others may come from concurrent plays."""
        for path in sorted(set((folder / "journal").glob("*.json")) - before):
            raw = path.read_bytes()
            if reason.encode() in raw:
                return msgspec.json.decode(raw, type=EntryRecord)
        return None


def main() -> int:
    """Run the tool."""
    parser = argparse.ArgumentParser(
        prog="python -m tools.compare", description=(__doc__ or "").partition("\n")[0]
    )
    parser.add_argument("--program", type=Path, required=True, help="program that plays days")
    parser.add_argument("--folder", type=Path, required=True, help="folder for clones and results")
    parser.add_argument("--site", type=Path, action="append", required=True)
    parser.add_argument("--day", action="append", required=True)
    parser.add_argument("--seed", type=int, action="append", required=True)
    parser.add_argument("--variant", action="append", required=True, help="NAME=REF[-MECHANISM]")
    parser.add_argument("--small", action="store_true", help="pass --small to the program")
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
