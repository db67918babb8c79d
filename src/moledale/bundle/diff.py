"""Difference between two bundles, with list entries matched by name instead of index."""

from dataclasses import dataclass

from moledale.bundle.schema import Bundle

# Keys that identify an entry of a list; the first one that the entry has is used.
_LABEL_KEYS = ("name", "priority", "hall")


@dataclass(frozen=True, slots=True)
class Change:
    """A value that differs between two bundles; None on the side that does not have it."""

    path: str
    before: object
    after: object


def changes(before: Bundle | None, after: Bundle) -> list[Change]:
    """Return the values that differ, sorted by path."""
    old = _flatten("", before.model_dump(mode="json")) if before is not None else {}
    new = _flatten("", after.model_dump(mode="json"))
    paths = sorted({*old, *new})
    return [
        Change(path, old.get(path), new.get(path))
        for path in paths
        if old.get(path) != new.get(path)
    ]


def _flatten(path: str, value: object) -> dict[str, object]:
    """Map the path of each leaf to its value; list entries are identified by label, not index."""
    if isinstance(value, dict):
        leaves: dict[str, object] = {}
        for key, item in value.items():
            leaves.update(_flatten(f"{path}.{key}" if path else str(key), item))
        return leaves
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        leaves = {}
        for item in value:
            leaves.update(_flatten(f"{path}[{_label(item)}]", item))
        return leaves
    return {path: value}


def _label(item: dict[str, object]) -> str:
    """Return the label of a list entry: its name, priority or hall, and its instance class."""
    label = next((str(item[name]) for name in _LABEL_KEYS if name in item), "")
    instance_class = item.get("instance_class")
    return f"{label}/{instance_class}" if instance_class is not None else label
