"""What nodes noted of spans in which they did not run, and of their ends."""

import json
from pathlib import Path


def stall_lines(folder: Path, began: float) -> list[str]:
    """Return a line for each note of a folder's nodes, in order; times in seconds from `began`."""
    notes = [
        (float(note["began"]), path.stem, note)
        for path in folder.glob("*.stalls")
        for note in map(json.loads, path.read_text("ascii").splitlines())
    ]
    return [_line(node, note, began) for _, node, note in sorted(notes, key=lambda each: each[0])]


def _line(node: str, note: dict[str, float | str], began: float) -> str:
    at, ended = float(note["began"]), float(note["ended"])
    text = f"{at - began:7.2f} {node} {note['what']}"
    if "cpu_s" not in note:
        return text
    waited_s = max(float(note["waited_s"]), float(note["first_thread_waited_s"]))
    return (
        f"{text} for {ended - at:.2f} s: {note['cpu_s']:.2f} s on a CPU, "
        f"{waited_s:.2f} s ready to run, {note['stolen_s']:.2f} s taken by the host"
    )
