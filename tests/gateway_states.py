"""Makes states of gateway nodes for tests."""

from moledale.gateway.peers import NodeState, Standing

HALLS = ("a", "b", "c", "d")


def make_state(name: str, life: int = 1, sequence: int = 1, **changes: object) -> NodeState:
    """Return a state as a node sends it to its peers, with some fields changed."""
    values: dict[str, object] = {
        "id": name,
        "life": life,
        "sequence": sequence,
        "hall": "a",
        "address": f"{name}:1",
        "peer": f"{name}:2",
        "control": f"{name}:3",
        "standing": int(Standing.READY),
        "plan_version": 1,
        "started": {},
        "spent": {},
        "loads": {},
        "sends": {},
        "work": {},
    }
    return NodeState(**{**values, **changes})  # type: ignore[arg-type]
