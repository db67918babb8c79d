"""Removes one mechanism from a copy of the sources, so that its effect can be measured.

`python -m tools.ablation` lists the mechanisms; `python -m tools.ablation NAME FOLDER` removes one
from the checkout in FOLDER, which must not be this one. docs/DECISIONS.md has the measured effects.
"""

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path

from moledale.scheduling.switches import Feature

ROOT = Path(__file__).resolve().parent.parent
GATEWAY_DIR = Path("src/moledale/gateway")


@dataclass(frozen=True, slots=True)
class Ablation:
    """A mechanism, and the text replacement that removes it; `old` occurs once in the file."""

    name: str
    summary: str
    file: str
    old: str
    new: str

    def remove_from(self, text: str) -> str:
        """Return a file's text without the mechanism; raise ValueError unless `old` occurs once."""
        if text.count(self.old) != 1:
            raise ValueError(f"{self.name}: {self.file} has the text {text.count(self.old)} times")
        return text.replace(self.old, self.new)


def _without_feature(feature: Feature) -> Ablation:
    """Return the ablation of a scheduling feature, whatever the settings say."""
    condition = "if index is None or not getattr(self.settings, feature.value):"
    return Ablation(
        feature.value,
        f"scheduling.{feature.value} is switched off",
        "../scheduling/switches.py",
        condition,
        condition.replace("index is None", f"index is None or feature is Feature.{feature.name}"),
    )


ABLATIONS = (
    Ablation(
        "fetch",
        "cached prefixes are fetched from other servers",
        "engine_costs.py",
        "if not self.engine.moves or self.prefix.tokens <= cached:",
        "if self.prefix.tokens >= 0:",
    ),
    Ablation(
        "learn",
        "the speed of servers is estimated; without, the prior is used",
        "server_model.py",
        "self._speed = combine_speeds(self._local_speed, self._peer_speeds)",
        "self._speed = PRIOR",
    ),
    Ablation(
        "learn-from-others",
        "nodes merge the speed estimates of their peers",
        "server_model.py",
        "self._speed = combine_speeds(self._local_speed, self._peer_speeds)",
        "self._speed = self._local_speed",
    ),
    Ablation(
        "slowness",
        "a server that has become slow is recognized",
        "server_model.py",
        "return 1.0 + (self._factor - 1.0) * exp(-(now - self._observed_at) / SLOWDOWN_DECAY_S)",
        "return 1.0",
    ),
    Ablation(
        "home",
        "prompts with the same prefix are routed to a home server",
        "engine_costs.py",
        "if is_home and not cached:",
        "if is_home and cached < 0:",
    ),
    Ablation(
        "slots",
        "the wait for a slot is part of a server's cost",
        "../scheduling/expected_ends.py",
        "return took_s * view.slowness.factor(now) + slots_s",
        "return took_s * view.slowness.factor(now)",
    ),
    Ablation(
        "placements",
        "placements are sent to other nodes at once",
        "node.py",
        "if self._gossip is None or not placed:",
        "if self._gossip is not None or not placed:",
    ),
    Ablation(
        "moves",
        "streams are moved off servers that leave",
        "evacuation.py",
        "if engine is None or not engine.moves:",
        "if engine is None or engine.slots > 0:",
    ),
    Ablation(
        "silence",
        "silent servers are paused",
        "balance.py",
        "                if group.views[name].is_silent(now):\n",
        "                if now < 0.0:\n",
    ),
    Ablation(
        "slow-repeat",
        "safe requests that take long are retried on another server",
        "answers.py",
        "may_retry = job.route.kind is Kind.SAFE and",
        "may_retry = job.route.kind is None and",
    ),
    Ablation(
        "reserve",
        "the capacity covers the loss of one more hall",
        "renting.py",
        "RESERVE_SHARE = 0.75",
        "RESERVE_SHARE = 0.0",
    ),
    Ablation(
        "spot-surplus",
        "more spot servers are rented than are needed",
        "renting.py",
        "SPOT_FACTOR = 1.5",
        "SPOT_FACTOR = 1.0",
    ),
    Ablation(
        "on-demand-peak",
        "on-demand servers are kept for a shorter time after a peak",
        "renting.py",
        "retention_s = ON_DEMAND_PEAK_BOOTS * boot_s",
        "retention_s = PEAK_RETENTION_S",
    ),
    *(_without_feature(feature) for feature in Feature),
)


def apply_ablation(ablation: Ablation, root: Path) -> None:
    """Remove a mechanism from a checkout."""
    file = root / GATEWAY_DIR / ablation.file
    file.write_text(ablation.remove_from(file.read_text("utf-8")), "utf-8")


def main() -> int:
    """Run the tool."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("name", nargs="?")
    parser.add_argument("folder", nargs="?", type=Path)
    options = parser.parse_args()
    if options.name is None:
        for each in ABLATIONS:
            print(f"{each.name:18} {each.summary}")
        return 0
    matching = [each for each in ABLATIONS if each.name == options.name]
    if not matching or options.folder is None:
        parser.error("name one of the mechanisms and a folder")
    if options.folder.resolve() == ROOT:
        parser.error("this is the checkout that the tool runs from; name a copy")
    apply_ablation(matching[0], options.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
