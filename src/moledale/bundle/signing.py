"""Operators' Ed25519 signatures over the exact bytes of a bundle."""

import base64
import binascii
import hashlib

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

# Domain separation: a signature over a bundle is not valid for any other purpose.
_SIGNATURE_CONTEXT = b"moledale bundle v1\n"


class Signature(msgspec.Struct, frozen=True):
    """One operator's signature; `value` is base64."""

    operator: str
    value: str


def digest(body: bytes) -> str:
    """Return the content address of a bundle body, as 64 hex digits."""
    return hashlib.sha256(body).hexdigest()


def generate_private_key() -> bytes:
    """Generate an Ed25519 private key in PEM form."""
    return Ed25519PrivateKey.generate().private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def load_private_key(pem: bytes) -> Ed25519PrivateKey | None:
    """Parse a PEM private key; return None if it is invalid or not an Ed25519 key."""
    try:
        key = serialization.load_pem_private_key(pem, password=None)
    except (ValueError, TypeError):
        return None
    return key if isinstance(key, Ed25519PrivateKey) else None


def encode_public_key(key: Ed25519PrivateKey) -> str:
    """Return the public key in base64, as the settings list it."""
    raw = key.public_key().public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
    return base64.b64encode(raw).decode()


def decode_public_key(text: str) -> Ed25519PublicKey | None:
    """Parse a base64 public key; return None if it is invalid."""
    try:
        return Ed25519PublicKey.from_public_bytes(base64.b64decode(text, validate=True))
    except (ValueError, binascii.Error):
        return None


def sign(body: bytes, operator: str, key: Ed25519PrivateKey) -> Signature:
    """Sign a bundle body as an operator."""
    value = key.sign(_SIGNATURE_CONTEXT + body)
    return Signature(operator, base64.b64encode(value).decode())


def verify_signatures(
    body: bytes, signatures: list[Signature], keys: dict[str, str]
) -> tuple[set[str], list[str]]:
    """Return the operators with a valid signature, and a message per invalid signature."""
    valid: set[str] = set()
    errors: list[str] = []
    for signature in signatures:
        key = decode_public_key(keys.get(signature.operator, ""))
        if key is None:
            errors.append(f"operator {signature.operator!r} is not known")
            continue
        try:
            key.verify(base64.b64decode(signature.value, validate=True), _SIGNATURE_CONTEXT + body)
        except (InvalidSignature, ValueError, binascii.Error):
            errors.append(f"signature of {signature.operator!r} does not fit these bytes")
            continue
        valid.add(signature.operator)
    return valid, errors
