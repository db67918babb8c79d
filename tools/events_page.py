"""Generates docs/EVENTS.md from the members of `Event`."""

import logbook

from moledale.log import Event

PAGE_HEADER = """# Log events

Every line that `moledaled` logs has a number from this catalogue, the event's name, and its fields
as JSON. Numbers are never reused. A test holds this page against the code; make it anew with
`python -m tools.events_page > docs/EVENTS.md`.

| number | name | level | meaning |
|---|---|---|---|"""


def main() -> None:
    """Print the page."""
    print(PAGE_HEADER)
    for event in Event:
        spec = event.value
        level = logbook.get_level_name(spec.level).lower()
        print(f"| E{spec.number} | `{event.name.lower()}` | {level} | {spec.meaning} |")


if __name__ == "__main__":
    main()
