"""Generates the settings file of a node, for local fleets and tests."""

from collections.abc import Mapping

from moledale.backing.types import Part


def settings_text(
    name: str, hall: str, platform: str, keys: Mapping[str, str], extra: str = ""
) -> str:
    """Return the settings of a node.

    `platform` is the base URL of all its parts; `keys` maps operators to their public keys.
    """
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
