"""The text of a node's settings file, for local fleets and tests."""

from collections.abc import Mapping

from moledale.backing.types import Part


def settings_text(
    name: str, hall: str, platform: str, keys: Mapping[str, str], extra: str = ""
) -> str:
    """Return settings of a node; `platform` is the base address of all parts."""
    parts = "\n".join(f'{part.value} = "{platform}"' for part in Part)
    operators = "\n".join(f'{operator} = "{key}"' for operator, key in keys.items())
    return f"""
[node]
id = "{name}"
hall = "{hall}"
region = "north"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
[platform]
{parts}
[operators.keys]
{operators}
[secrets]
peer = {{ env = "MOLEDALE_PEER_SECRET" }}
operator = {{ env = "MOLEDALE_OPERATOR_TOKEN" }}
{extra}
"""
