"""Reads the spans that nodes recorded in which they did not run, and their exits."""

from pathlib import Path

import msgspec


class StallRecord(msgspec.Struct):
    """A line written by `node_main`: a span in monotonic seconds, and the CPU usage in it."""

    what: str
    began: float
    ended: float
    cpu_s: float | None = None
    waited_s: float = 0.0
    first_thread_waited_s: float = 0.0
    stolen_s: float = 0.0


_decoder = msgspec.json.Decoder(StallRecord)


def stall_lines(folder: Path, began: float) -> list[str]:
    """Return a line per record of all nodes in a folder, by time in seconds since `began`."""
    records = [
        (record.began, path.stem, record)
        for path in folder.glob("*.stalls")
        for record in _decoder.decode_lines(path.read_bytes())
    ]
    records.sort(key=lambda each: each[0])
    return [_format_stall(node, record, began) for _, node, record in records]


def _format_stall(node: str, record: StallRecord, began: float) -> str:
    text = f"{record.began - began:7.2f} {node} {record.what}"
    if record.cpu_s is None:
        return text
    waited_s = max(record.waited_s, record.first_thread_waited_s)
    return (
        f"{text} for {record.ended - record.began:.2f} s: {record.cpu_s:.2f} s on a CPU, "
        f"{waited_s:.2f} s ready to run, {record.stolen_s:.2f} s taken by the host"
    )
