"""Difference between two bundles, with list entries matched by name instead of index."""

from dataclasses import dataclass

from moledale.bundle.schema import Bundle

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
        found: dict[str, object] = {}
        for key, item in value.items():
            found.update(_flatten(f"{path}.{key}" if path else str(key), item))
        return found
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        found = {}
        for item in value:
            found.update(_flatten(f"{path}[{_label(item)}]", item))
        return found
    return {path: value}


def _label(item: dict[str, object]) -> str:
    label = next((str(item[name]) for name in _LABEL_KEYS if name in item), "")
    extra = item.get("instance_class")
    return f"{label}/{extra}" if extra is not None else label
