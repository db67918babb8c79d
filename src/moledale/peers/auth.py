"""Short-lived signed tokens that authenticate calls between nodes."""

import jwt

from moledale.clock import Clock

METADATA_KEY = "moledale-peer"
TOKEN_TTL_S = 60
_AUDIENCE = "moledale-peers"
_ALGORITHM = "HS256"


class PeerTokens:
    """Issues and verifies tokens with the secret that all nodes share."""

    def __init__(self, node: str, secret: str, clock: Clock) -> None:
        self._node = node
        self._secret = secret
        self._clock = clock
        self._token = ""
        self._renew_at = 0.0

    def token(self) -> str:
        """Return a token of this node; it is renewed after half of its TTL."""
        now = self._clock.wall()
        if now >= self._renew_at:
            claims = {"iss": self._node, "aud": _AUDIENCE, "exp": int(now) + TOKEN_TTL_S}
            self._token = jwt.encode(claims, self._secret, algorithm=_ALGORITHM)
            self._renew_at = now + TOKEN_TTL_S / 2
        return self._token

    def check(self, token: str) -> str | None:
        """Return the node that issued a token, or None if it is invalid.

        The leeway on the expiry tolerates clocks that differ between nodes.
        """
        try:
            claims = jwt.decode(
                token, self._secret, algorithms=[_ALGORITHM], audience=_AUDIENCE, leeway=30
            )
        except jwt.InvalidTokenError:
            return None
        return str(claims.get("iss", "")) or None
