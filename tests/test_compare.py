"""The tool that compares variants: pairs, intervals, and what it plays again."""

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


def plays(variant: str, worths: list[float], site: str = "a") -> list[Play]:
    return [Play(variant, site, "d", seed, worth) for seed, worth in enumerate(worths)]


class DifferenceTest(unittest.TestCase):
    def test_differences_are_paired(self) -> None:
        chance = random.Random(1)
        base = [chance.uniform(0.3, 0.8) for _ in range(20)]
        better = [worth + 0.02 + chance.gauss(0.0, 0.005) for worth in base]
        found = paired_difference([*plays("x", base), *plays("y", better)], "x", "y")
        assert found is not None
        self.assertAlmostEqual(found.mean, 0.02, delta=0.005)
        self.assertGreater(found.low, 0.0)
        self.assertLess(found.plays_needed, 10)

    def test_noise_is_told_as_noise(self) -> None:
        chance = random.Random(1)
        one = [chance.gauss(0.6, 0.05) for _ in range(12)]
        two = [chance.gauss(0.6, 0.05) for _ in range(12)]
        found = paired_difference([*plays("x", one), *plays("y", two)], "x", "y")
        assert found is not None
        self.assertTrue(found.low < 0.0 < found.high)
        self.assertGreater(found.plays_needed, 50)

    def test_only_pairs_count(self) -> None:
        found = paired_difference([*plays("x", [0.5]), *plays("y", [0.6, 0.9])], "x", "y")
        assert found is not None
        self.assertEqual((found.pairs, round(found.mean, 6)), (1, 0.1))
        self.assertIsNone(paired_difference(plays("x", [0.5]), "x", "y"))

    def test_table_has_all_sites_and_each(self) -> None:
        both = [*plays("x", [0.5, 0.6]), *plays("y", [0.6, 0.7])]
        both += [*plays("x", [0.5], "b"), *plays("y", [0.4], "b")]
        rows = table(both, [Variant("x", "HEAD"), Variant("y", "HEAD")])
        self.assertEqual([row.split("|")[2].strip() for row in rows[2:]], ["all", "a", "b"])


class VariantTest(unittest.TestCase):
    def test_refs_and_mechanisms(self) -> None:
        self.assertEqual(parse_variant("x=HEAD~1"), Variant("x", "HEAD~1"))
        self.assertEqual(parse_variant("y=HEAD-home"), Variant("y", "HEAD", "home"))
        for wrong in ("x", "=HEAD", "x="):
            with self.assertRaises(ValueError):
                parse_variant(wrong)


class RunnerTest(unittest.TestCase):
    def test_what_was_played_is_not_played_again(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            program = folder / "plays"
            program.write_text(PROGRAM)
            program.chmod(program.stat().st_mode | stat.S_IXUSR)
            (folder / "x" / "journal").mkdir(parents=True)
            site, variant = folder / "site.toml", Variant("x", "HEAD")
            Runner(program, folder, False).run([variant], [(site, "d", 1), (site, "d", 9)], 2)
            again = Runner(program, folder, False)
            again.run([variant], [(site, "d", 1), (site, "d", 2)], 1)
            found = {play.seed: (play.worth, play.broken) for play in again.plays}
            self.assertEqual(found, {1: (0.1, False), 2: (0.2, False), 9: (0.9, True)})
            calls = (folder / "x" / "calls.txt").read_text().splitlines()
            self.assertEqual(len(calls), 3)
