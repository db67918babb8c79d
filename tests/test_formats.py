"""Builds read each other's messages and rows: nodes are replaced one by one, rows outlive them.

Each file in `tests/formats` was written by a build that landed (`tools.record_formats`) and is
never edited. A field that such a build reads stays where it is, with its type; new ones come last
in what is sent as an array, and have a default.
"""

import unittest
from pathlib import Path
from typing import Any

import msgspec

from tools.record_formats import (
    MESSAGE_TYPES,
    ROW_TYPES,
    FormatRecord,
    StructRecord,
    make_record,
    resolve_type,
)

FOLDER = Path(__file__).resolve().parent / "formats"

UNCHANGEABLE = ("moledale.gateway.messages:Server",)
"""Nodes compare a digest of their lists of servers, so a field that only some builds know would
have all of them fetch each other's lists again and again."""

UNKNOWN_TO = {
    name: {"moledale.gateway.permits:PermitAsk", "moledale.gateway.permits:PermitAnswer"}
    for name in ("eba5d79", "ed5dc3f")
}
"""Messages that came later than a build: nodes send them to no node of it, and it drops them."""


def records() -> list[FormatRecord]:
    """Return what earlier builds recorded."""
    files = sorted(FOLDER.glob("*.json"))
    return [msgspec.json.decode(file.read_bytes(), type=FormatRecord) for file in files]


def older_reader(earlier: StructRecord) -> type[msgspec.Struct]:
    """Return a reader that knows the fields of an earlier build only."""
    fields: list[Any] = [
        (field.name, Any) if field.required else (field.name, Any, None) for field in earlier.fields
    ]
    return msgspec.defstruct("Older", fields, array_like=earlier.array_like, tag=earlier.tag)


class FormatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.today = make_record("today")

    def test_there_is_a_record(self) -> None:
        self.assertTrue(records())
        for each in records():
            unknown = UNKNOWN_TO.get(each.build, set())
            self.assertEqual({*each.examples, *unknown}, {*MESSAGE_TYPES, *ROW_TYPES})
            self.assertFalse(unknown & set(each.examples))

    def test_fields_stay_and_new_ones_come_last_with_a_default(self) -> None:
        for each in records():
            for name, earlier in each.structs.items():
                with self.subTest(build=each.build, name=name):
                    self.check_fields(earlier, self.today.structs[name])

    def check_fields(self, earlier: StructRecord, later: StructRecord) -> None:
        self.assertEqual((later.array_like, later.tag), (earlier.array_like, earlier.tag))
        known = later.fields[: len(earlier.fields)]
        if not earlier.array_like:
            names = {field.name for field in earlier.fields}
            known = [field for field in later.fields if field.name in names]
        self.assertEqual(known, earlier.fields)
        new = [field for field in later.fields if field not in earlier.fields]
        self.assertEqual([field.name for field in new if field.required], [])

    def test_structs_with_a_digest_do_not_change(self) -> None:
        for each in records():
            for name in UNCHANGEABLE:
                self.assertEqual(self.today.structs[name], each.structs[name])

    def test_what_earlier_builds_wrote_reads_as_they_meant_it(self) -> None:
        for each in records():
            for name, example in each.examples.items():
                with self.subTest(build=each.build, name=name):
                    codec = msgspec.json if name in ROW_TYPES else msgspec.msgpack
                    read = codec.decode(example.encoded, type=resolve_type(name))
                    self.assert_holds(example.value, msgspec.to_builtins(read, str_keys=True))

    def assert_holds(self, earlier: Any, later: Any) -> None:
        """Check that plain values hold all that earlier ones did; what is new may come beside."""
        if isinstance(earlier, dict):
            for key, value in earlier.items():
                self.assert_holds(value, later[key])
        elif isinstance(earlier, list):
            for one, other in zip(earlier, later, strict=False):
                self.assert_holds(one, other)
            self.assertGreaterEqual(len(later), len(earlier))
        else:
            self.assertEqual(later, earlier)

    def test_earlier_builds_read_what_this_one_writes(self) -> None:
        for each in records():
            for name, example in self.today.examples.items():
                if name in UNKNOWN_TO.get(each.build, ()):
                    continue
                with self.subTest(build=each.build, name=name):
                    codec = msgspec.json if name in ROW_TYPES else msgspec.msgpack
                    read = codec.decode(example.encoded, type=older_reader(each.structs[name]))
                    self.assert_holds(
                        each.examples[name].value, msgspec.to_builtins(read, str_keys=True)
                    )
