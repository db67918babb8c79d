"""`tools.compare`: paired differences, confidence intervals, and reuse of stored results."""

import random
import stat
import tempfile
import unittest
from pathlib import Path

from tools.compare import Play, Runner, Variant, paired_difference, parse_variant, table

PROGRAM = """#!/usr/bin/env python3
import json, pathlib, sys, uuid
why = sys.argv[sys.argv.index("--why") + 1]
seed = int(sys.argv[sys.argv.index("--seed") + 1])
with open("calls.txt", "a") as calls:
    calls.write(why + "\\n")
entry = {"ok": seed != 9, "why": why, "days": [{"G": seed / 10, "name": sys.argv[3]}]}
pathlib.Path("journal", uuid.uuid4().hex + ".json").write_text(json.dumps(entry))
"""


def make_plays(variant: str, worths: list[float], site: str = "a") -> list[Play]:
    return [Play(variant, site, "d", seed, worth) for seed, worth in enumerate(worths)]


class DifferenceTest(unittest.TestCase):
    def test_differences_are_paired(self) -> None:
        rng = random.Random(1)
        base = [rng.uniform(0.3, 0.8) for _ in range(20)]
        better = [worth + 0.02 + rng.gauss(0.0, 0.005) for worth in base]
        found = paired_difference([*make_plays("x", base), *make_plays("y", better)], "x", "y")
        assert found is not None
        self.assertAlmostEqual(found.mean, 0.02, delta=0.005)
        self.assertGreater(found.low, 0.0)
        self.assertLess(found.plays_needed, 10)

    def test_noise_is_not_reported_as_a_difference(self) -> None:
        rng = random.Random(1)
        one = [rng.gauss(0.6, 0.05) for _ in range(12)]
        two = [rng.gauss(0.6, 0.05) for _ in range(12)]
        found = paired_difference([*make_plays("x", one), *make_plays("y", two)], "x", "y")
        assert found is not None
        self.assertTrue(found.low < 0.0 < found.high)
        self.assertGreater(found.plays_needed, 50)

    def test_unpaired_plays_are_ignored(self) -> None:
        found = paired_difference([*make_plays("x", [0.5]), *make_plays("y", [0.6, 0.9])], "x", "y")
        assert found is not None
        self.assertEqual((found.pairs, round(found.mean, 6)), (1, 0.1))
        self.assertIsNone(paired_difference(make_plays("x", [0.5]), "x", "y"))

    def test_table_has_rows_for_all_sites_and_each_site(self) -> None:
        both = [*make_plays("x", [0.5, 0.6]), *make_plays("y", [0.6, 0.7])]
        both += [*make_plays("x", [0.5], "b"), *make_plays("y", [0.4], "b")]
        rows = table(both, [Variant("x", "HEAD"), Variant("y", "HEAD")])
        self.assertEqual([row.split("|")[2].strip() for row in rows[2:]], ["all", "a", "b"])


class VariantTest(unittest.TestCase):
    def test_variants_are_parsed(self) -> None:
        self.assertEqual(parse_variant("x=HEAD~1"), Variant("x", "HEAD~1"))
        self.assertEqual(parse_variant("y=HEAD-home"), Variant("y", "HEAD", "home"))
        for wrong in ("x", "=HEAD", "x="):
            with self.assertRaises(ValueError):
                parse_variant(wrong)


class RunnerTest(unittest.TestCase):
    def test_plays_with_stored_results_are_not_repeated(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            program = folder / "plays"
            program.write_text(PROGRAM)
            program.chmod(program.stat().st_mode | stat.S_IXUSR)
            (folder / "x" / "journal").mkdir(parents=True)
            site, variant = folder / "site.toml", Variant("x", "HEAD")
            Runner(program, folder, False).run([variant], [(site, "d", 1), (site, "d", 9)], 2)
            second = Runner(program, folder, False)
            second.run([variant], [(site, "d", 1), (site, "d", 2)], 1)
            found = {play.seed: (play.worth, play.broken) for play in second.plays}
            self.assertEqual(found, {1: (0.1, False), 2: (0.2, False), 9: (0.9, True)})
            calls = (folder / "x" / "calls.txt").read_text().splitlines()
            self.assertEqual(len(calls), 3)
