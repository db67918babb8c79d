"""What nodes noted of spans in which they did not run, and of their ends."""

from pathlib import Path

import msgspec


class StallRecord(msgspec.Struct):
    """A line of `node_main`: a span on the steady clock, and what was spent in it, in seconds."""

    what: str
    began: float
    ended: float
    cpu_s: float | None = None
    waited_s: float = 0.0
    first_thread_waited_s: float = 0.0
    stolen_s: float = 0.0


_decoder = msgspec.json.Decoder(StallRecord)


def stall_lines(folder: Path, began: float) -> list[str]:
    """Return a line for each note of a folder's nodes, in order; times in seconds from `began`."""
    notes = [
        (note.began, path.stem, note)
        for path in folder.glob("*.stalls")
        for note in _decoder.decode_lines(path.read_bytes())
    ]
    notes.sort(key=lambda each: each[0])
    return [_format_stall(node, note, began) for _, node, note in notes]


def _format_stall(node: str, note: StallRecord, began: float) -> str:
    text = f"{note.began - began:7.2f} {node} {note.what}"
    if note.cpu_s is None:
        return text
    waited_s = max(note.waited_s, note.first_thread_waited_s)
    return (
        f"{text} for {note.ended - note.began:.2f} s: {note.cpu_s:.2f} s on a CPU, "
        f"{waited_s:.2f} s ready to run, {note.stolen_s:.2f} s taken by the host"
    )
