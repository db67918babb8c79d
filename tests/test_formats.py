"""Builds read each other's messages and rows: nodes are replaced one by one, and rows outlive them.

Each file in `tests/formats` was written by a merged build (`tools.record_formats`) and is never
edited. Fields of such a build keep their position and type. New fields have a default, and are the
last ones in a struct that is encoded as an array.
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

FROZEN_TYPES = ("moledale.gateway.messages:Server",)
"""Nodes compare digests of their server lists. With a field that only some builds know, the digests
would differ and nodes would fetch each other's lists again and again."""

PERMIT_TYPES = {"moledale.gateway.permits:PermitAsk", "moledale.gateway.permits:PermitAnswer"}

EVACUATION_TYPES = {
    "moledale.scheduling.evacuation_coordinator:EvacuationReport",
    "moledale.scheduling.evacuation_coordinator:EvacuationOrder",
}

ORIGIN_TYPES = {
    "moledale.streams.origins:OriginNews",
    "moledale.streams.origins:OriginAsk",
    "moledale.streams.origins:OriginAnswer",
}

QUARANTINE_TYPES = {
    "moledale.gateway.quarantine_sharing:PartNews",
    "moledale.quarantine.server_checks:ServerAsk",
    "moledale.quarantine.server_checks:ServerAnswer",
}

WATCH_TYPES = {"moledale.gateway.gossip:PlanCheck"}

REGISTER_TYPES = {
    "moledale.streams.version_register:VersionNews",
    "moledale.streams.version_register:VersionRow",
    "moledale.streams.origin_log:OriginRow",
}

TYPES_BEFORE_WATCH = WATCH_TYPES | REGISTER_TYPES

TYPES_BEFORE_PARTS = QUARANTINE_TYPES | TYPES_BEFORE_WATCH

TYPES_UNKNOWN_TO_BUILD = {
    "eba5d79": TYPES_BEFORE_PARTS | PERMIT_TYPES | EVACUATION_TYPES | ORIGIN_TYPES,
    "ed5dc3f": TYPES_BEFORE_PARTS | PERMIT_TYPES | EVACUATION_TYPES | ORIGIN_TYPES,
    "c96abaf": TYPES_BEFORE_PARTS | EVACUATION_TYPES | ORIGIN_TYPES,
    "f416f8c": TYPES_BEFORE_PARTS | EVACUATION_TYPES | ORIGIN_TYPES,
    "d538459": TYPES_BEFORE_PARTS | ORIGIN_TYPES,
    "0f5ed68": TYPES_BEFORE_PARTS | ORIGIN_TYPES,
    "a598c75": TYPES_BEFORE_PARTS,
    "06eaade": TYPES_BEFORE_WATCH,
    "e2ba247": REGISTER_TYPES,
}
"""Messages that are newer than a build. Its nodes are not sent them, and would drop them."""


def load_records() -> list[FormatRecord]:
    """Return the records of earlier builds."""
    files = sorted(FOLDER.glob("*.json"))
    return [msgspec.json.decode(file.read_bytes(), type=FormatRecord) for file in files]


def make_older_reader(earlier: StructRecord) -> type[msgspec.Struct]:
    """Return a struct that has only the fields of an earlier build."""
    fields: list[Any] = [
        (field.name, Any) if field.required else (field.name, Any, None) for field in earlier.fields
    ]
    return msgspec.defstruct("Older", fields, array_like=earlier.array_like, tag=earlier.tag)


class FormatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.current = make_record("today")

    def test_records_are_complete(self) -> None:
        self.assertTrue(load_records())
        for each in load_records():
            unknown = TYPES_UNKNOWN_TO_BUILD.get(each.build, set())
            self.assertEqual({*each.examples, *unknown}, {*MESSAGE_TYPES, *ROW_TYPES})
            self.assertFalse(unknown & set(each.examples))

    def test_earlier_fields_stay_and_new_ones_come_last_with_a_default(self) -> None:
        for each in load_records():
            for name, earlier in each.structs.items():
                with self.subTest(build=each.build, name=name):
                    self.assert_fields_compatible(earlier, self.current.structs[name])

    def assert_fields_compatible(self, earlier: StructRecord, later: StructRecord) -> None:
        self.assertEqual((later.array_like, later.tag), (earlier.array_like, earlier.tag))
        known = later.fields[: len(earlier.fields)]
        if not earlier.array_like:
            names = {field.name for field in earlier.fields}
            known = [field for field in later.fields if field.name in names]
        self.assertEqual(known, earlier.fields)
        new = [field for field in later.fields if field not in earlier.fields]
        self.assertEqual([field.name for field in new if field.required], [])

    def test_structs_with_a_digest_do_not_change(self) -> None:
        for each in load_records():
            for name in FROZEN_TYPES:
                self.assertEqual(self.current.structs[name], each.structs[name])

    def test_values_written_by_earlier_builds_decode_unchanged(self) -> None:
        for each in load_records():
            for name, example in each.examples.items():
                with self.subTest(build=each.build, name=name):
                    codec = msgspec.json if name in ROW_TYPES else msgspec.msgpack
                    read = codec.decode(example.encoded, type=resolve_type(name))
                    self.assert_contains(example.value, msgspec.to_builtins(read, str_keys=True))

    def assert_contains(self, earlier: Any, later: Any) -> None:
        """Assert that builtin values contain all earlier ones; they may also have new entries."""
        if isinstance(earlier, dict):
            for key, value in earlier.items():
                self.assert_contains(value, later[key])
        elif isinstance(earlier, list):
            for one, other in zip(earlier, later, strict=False):
                self.assert_contains(one, other)
            self.assertGreaterEqual(len(later), len(earlier))
        else:
            self.assertEqual(later, earlier)

    def test_earlier_builds_decode_what_this_one_writes(self) -> None:
        for each in load_records():
            for name, example in self.current.examples.items():
                if name in TYPES_UNKNOWN_TO_BUILD.get(each.build, ()):
                    continue
                with self.subTest(build=each.build, name=name):
                    codec = msgspec.json if name in ROW_TYPES else msgspec.msgpack
                    read = codec.decode(example.encoded, type=make_older_reader(each.structs[name]))
                    self.assert_contains(
                        each.examples[name].value, msgspec.to_builtins(read, str_keys=True)
                    )
