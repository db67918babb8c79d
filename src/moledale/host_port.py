"""Parsing of addresses `host:port`, which others state."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 80
"""Longest prefix of an address in an error."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address; raise ValueError if none can be connected to it.

    Event loops differ here: some raise OverflowError for a port out of range, others use another.
    """
    host, _, digits = address.rpartition(":")
    if not digits.isdecimal() or not digits.isascii() or len(digits) > MAX_PORT_DIGITS:
        raise ValueError(f"{address[:MAX_SHOWN_CHARS]!r} is not host:port")
    port = int(digits)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{address[:MAX_SHOWN_CHARS]!r} has a port out of range")
    if not host or not host.isprintable() or " " in host:
        raise ValueError(f"{address[:MAX_SHOWN_CHARS]!r} has no valid host")
    host.encode("idna")
    return host, port
