"""Records the formats that builds share: `python -m tools.record_formats BUILD > FILE`.

Nodes of two builds run side by side while machines are replaced, and rows in the store outlive the
build that wrote them. The record has the fields of each message and row, and an example that this
build encoded. The record of a merged build is never edited; a test decodes it with later code.
"""

import argparse
import enum
import importlib
import sys
from typing import Any

import msgspec

MESSAGE_TYPES = (
    "moledale.gateway.gossip:StateNews",
    "moledale.gateway.gossip:PackedState",
    "moledale.gateway.gossip:PlacementNews",
    "moledale.gateway.gossip:PlanCheck",
    "moledale.gateway.server_list:ServerChange",
    "moledale.gateway.quarantine_sharing:EndNews",
    "moledale.gateway.quarantine_sharing:PartNews",
    "moledale.gateway.quarantine_sharing:ClearedNews",
    "moledale.gateway.quarantine_sharing:BlockNews",
    "moledale.quarantine.server_checks:ServerAsk",
    "moledale.quarantine.server_checks:ServerAnswer",
    "moledale.gateway.permits:PermitAsk",
    "moledale.gateway.permits:PermitAnswer",
    "moledale.scheduling.evacuation_coordinator:EvacuationReport",
    "moledale.scheduling.evacuation_coordinator:EvacuationOrder",
    "moledale.streams.origins:OriginNews",
    "moledale.streams.origins:OriginAsk",
    "moledale.streams.origins:OriginAnswer",
    "moledale.streams.version_register:VersionNews",
    "moledale.gateway.document_archive:DocumentPiece",
    "moledale.gateway.messages:Server",
)
"""Types of the messages between nodes, encoded as msgpack."""

ROW_TYPES = (
    "moledale.core.leases:LeaseRow",
    "moledale.core.rollouts:RolloutNews",
    "moledale.gateway.duties:WindowRow",
    "moledale.gateway.quarantine_store:StoredBlock",
    "moledale.streams.version_register:VersionRow",
    "moledale.streams.origin_log:OriginRow",
)
"""Types of the rows in the store, encoded as JSON."""

MAX_STRUCT_DEPTH = 6
"""Deepest nesting of structs that `make_example` accepts."""


class FieldRecord(msgspec.Struct, frozen=True):
    """A field: its encoded name, a description of its type, and whether it has no default."""

    name: str
    type: str
    required: bool


class StructRecord(msgspec.Struct, frozen=True):
    """The layout of a message, a row, or a struct nested in one."""

    array_like: bool
    tag: str | None
    fields: list[FieldRecord]


class ExampleRecord(msgspec.Struct, frozen=True):
    """An encoded example, and the same value as builtin types."""

    encoded: bytes
    value: Any


class FormatRecord(msgspec.Struct, frozen=True):
    """All formats that a build shares with other builds."""

    build: str
    structs: dict[str, StructRecord]
    examples: dict[str, ExampleRecord]


def resolve_type(name: str) -> type[msgspec.Struct]:
    """Import the type that a name like those in `MESSAGE_TYPES` refers to."""
    module, _, attribute = name.partition(":")
    resolved: type[msgspec.Struct] = getattr(importlib.import_module(module), attribute)
    return resolved


def type_name(kind: type) -> str:
    """Return the name of a type, in the form used in `MESSAGE_TYPES`."""
    return f"{kind.__module__}:{kind.__qualname__}"


def make_example(kind: Any, depth: int = 0) -> Any:
    """Return an example value of a type, with a value in every field."""
    info = kind if isinstance(kind, msgspec.inspect.Type) else msgspec.inspect.type_info(kind)
    match info:
        case msgspec.inspect.StructType(cls=cls, fields=fields):
            if depth > MAX_STRUCT_DEPTH:
                raise ValueError(f"{cls} nests too deeply")
            return cls(**{field.name: make_example(field.type, depth + 1) for field in fields})
        case msgspec.inspect.UnionType(types=types):
            return make_example(
                next(each for each in types if not isinstance(each, msgspec.inspect.NoneType)),
                depth,
            )
        case msgspec.inspect.DictType(key_type=key, value_type=value):
            return {make_example(key, depth): make_example(value, depth)}
        case msgspec.inspect.TupleType(item_types=items):
            return tuple(make_example(item, depth) for item in items)
        case msgspec.inspect.VarTupleType(item_type=item):
            return (make_example(item, depth),)
        case msgspec.inspect.ListType(item_type=item):
            return [make_example(item, depth)]
        case msgspec.inspect.EnumType(cls=cls):
            return next(iter(cls))
    plain = {
        msgspec.inspect.BoolType: True,
        msgspec.inspect.IntType: 7,
        msgspec.inspect.FloatType: 1.5,
        msgspec.inspect.StrType: "text",
        msgspec.inspect.BytesType: b"bytes",
    }
    return plain[type(info)]


def collect_structs(kind: Any, found: dict[str, StructRecord]) -> None:
    """Add the struct of a type, and those nested in its fields, to `found`."""
    info = kind if isinstance(kind, msgspec.inspect.Type) else msgspec.inspect.type_info(kind)
    if isinstance(info, msgspec.inspect.StructType):
        if type_name(info.cls) in found:
            return
        tag = None if info.tag is None else str(info.tag)
        fields = [
            FieldRecord(field.encode_name, describe_type(field.type), field.required)
            for field in info.fields
        ]
        found[type_name(info.cls)] = StructRecord(info.array_like, tag, fields)
        for field in info.fields:
            collect_structs(field.type, found)
        return
    for name in ("types", "item_types"):
        for part in getattr(info, name, ()):
            collect_structs(part, found)
    for name in ("item_type", "key_type", "value_type"):
        if hasattr(info, name):
            collect_structs(getattr(info, name), found)


def describe_type(info: msgspec.inspect.Type) -> str:
    """Return a description of a type that is the same in each build; structs only by name."""
    if isinstance(info, msgspec.inspect.StructType):
        return info.cls.__qualname__
    if isinstance(info, msgspec.inspect.EnumType):
        members = {each.name: each.value for each in info.cls if isinstance(each, enum.Enum)}
        return f"{info.cls.__qualname__}{members}"
    parts = [*getattr(info, "types", ()), *getattr(info, "item_types", ())]
    parts += [
        getattr(info, name)
        for name in ("key_type", "value_type", "item_type")
        if hasattr(info, name)
    ]
    inner = ", ".join(describe_type(part) for part in parts)
    name = type(info).__name__.removesuffix("Type").lower()
    return f"{name}[{inner}]" if inner else name


def make_record(build: str) -> FormatRecord:
    """Return the record of the running build."""
    structs: dict[str, StructRecord] = {}
    examples = {}
    for names, encode in (
        (MESSAGE_TYPES, msgspec.msgpack.encode),
        (ROW_TYPES, msgspec.json.encode),
    ):
        for name in names:
            kind = resolve_type(name)
            collect_structs(kind, structs)
            example = make_example(kind)
            examples[name] = ExampleRecord(encode(example), msgspec.to_builtins(example))
    return FormatRecord(build, structs, examples)


def main() -> None:
    """Print the record."""
    parser = argparse.ArgumentParser(prog="python -m tools.record_formats", description=__doc__)
    parser.add_argument("build", help="the commit whose sources run")
    encoded = msgspec.json.encode(make_record(parser.parse_args().build))
    sys.stdout.buffer.write(msgspec.json.format(encoded, indent=1) + b"\n")


if __name__ == "__main__":
    main()
