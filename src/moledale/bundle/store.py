"""Storage of bundles: bodies in the object store, and a head row whose version only increases."""

import uuid

import msgspec
from result import Err, Ok, Result

from moledale.backing.stored_rows import decode_row
from moledale.backing.types import (
    ABSENT,
    Condition,
    Part,
    Platform,
    PlatformFailure,
    Row,
    Transaction,
    Write,
)
from moledale.bundle import schema
from moledale.bundle.signing import Signature, digest, verify_signatures
from moledale.decoding import decode_json
from moledale.findings import Finding
from moledale.settings import OperatorsSection

HEAD_TABLE = "bundle"
HEAD_KEY = "head"
HISTORY_TABLE = "bundle-history"
OBJECT_PREFIX = "bundles/"
MAX_HISTORY_ROWS = 1_000
MAX_WRITE_ATTEMPTS = 3


class Head(msgspec.Struct, frozen=True):
    """The head row: the accepted version, and in `operation` the id of the write that set it."""

    version: int
    digest: str
    name: str
    rolled_by: str
    rolled_at: float
    operation: str


class SignedBundle(msgspec.Struct, frozen=True):
    """The exact text of a bundle, and the signatures over it."""

    body: str
    signatures: list[Signature]


class RollRefusal(msgspec.Struct, frozen=True):
    """Why a bundle was not rolled, that is, did not become the head.

    `winner` is the head that is in place instead. `uncertain` means that the platform's response
    was lost, so the head may have moved.
    """

    kind: str
    detail: str
    findings: list[str] = []
    winner: Head | None = None
    uncertain: bool = False


def check(
    source: str, signed: SignedBundle, operators: OperatorsSection
) -> Result[schema.Bundle, list[Finding]]:
    """Validate a bundle and its signatures; return the bundle or the findings of both checks."""
    body = signed.body.encode()
    parsed = schema.parse(source, body)
    valid, errors = verify_signatures(body, signed.signatures, operators.keys)
    findings = parsed.unwrap_err() if isinstance(parsed, Err) else []
    findings = [*findings, *(Finding(source, "signatures", text) for text in errors)]
    if len(valid) < operators.required_signatures:
        text = f"{len(valid)} valid signatures, {operators.required_signatures} required"
        findings.append(Finding(source, "signatures", text))
    if findings:
        return Err(findings)
    return parsed


async def read_head(platform: Platform) -> Result[tuple[Head | None, int], PlatformFailure]:
    """Return the head (None if there is none) and the version of its row."""
    outcome = await platform.table.read(HEAD_TABLE, HEAD_KEY)
    return outcome.and_then(_decode_head)


async def fetch(
    platform: Platform, head: Head, operators: OperatorsSection
) -> Result[schema.Bundle, str]:
    """Fetch the bundle of a head, verify its digest and signatures, and parse it."""
    outcome = await platform.objects.get(OBJECT_PREFIX + head.digest)
    if isinstance(outcome, Err):
        return Err(outcome.err_value.detail)
    if outcome.ok_value is None:
        return Err("the object store does not hold the bundle")
    try:
        signed = decode_json(outcome.ok_value, SignedBundle)
    except msgspec.DecodeError as error:
        return Err(f"the stored bundle is damaged: {error}")
    if digest(signed.body.encode()) != head.digest:
        return Err("the stored bundle does not match its digest")
    checked = check(f"bundle {head.version}", signed, operators)
    if isinstance(checked, Err):
        return Err("; ".join(str(finding) for finding in checked.err_value))
    if checked.ok_value.version != head.version:
        return Err(f"the stored bundle has version {checked.ok_value.version}")
    return Ok(checked.ok_value)


async def roll(
    platform: Platform, signed: SignedBundle, operators: OperatorsSection, rolled_at: float
) -> Result[Head, RollRefusal]:
    """Make a signed bundle the head if its version directly follows the current head's.

    The body is stored before the head moves. If the response to a write is lost, the write is
    retried under the same condition, so it takes effect at most once; the history row then shows
    whose write succeeded.
    """
    checked = check("bundle", signed, operators)
    if isinstance(checked, Err):
        messages = [str(finding) for finding in checked.err_value]
        return Err(RollRefusal("invalid", "the bundle was not accepted", messages))
    bundle = checked.ok_value
    body_digest = digest(signed.body.encode())
    current = await read_head(platform)
    if isinstance(current, Err):
        return Err(RollRefusal("platform", current.err_value.detail))
    head, row_version = current.ok_value
    if head is not None and (head.version, head.digest) == (bundle.version, body_digest):
        return Ok(head)
    refusal = _version_refusal(bundle, head)
    if refusal is not None:
        return Err(refusal)
    # The key is the digest of the body alone. Another roll of the same body may store it with
    # other signatures; either copy has passed `check`, so it does not matter which one is kept.
    stored = await platform.objects.put(OBJECT_PREFIX + body_digest, msgspec.json.encode(signed))
    if isinstance(stored, Err):
        return Err(RollRefusal("platform", stored.err_value.detail))
    rolled_by = ", ".join(sorted({signature.operator for signature in signed.signatures}))
    new = Head(bundle.version, body_digest, bundle.name, rolled_by, rolled_at, uuid.uuid4().hex)
    return await _move_head(platform, new, row_version)


async def _move_head(platform: Platform, new: Head, row_version: int) -> Result[Head, RollRefusal]:
    """Write the head and its history row, if the head row still has version `row_version`."""
    value = msgspec.json.encode(new).decode()
    transaction = Transaction(
        new.operation,
        [Condition(HEAD_TABLE, HEAD_KEY, row_version)],
        [
            Write(HEAD_TABLE, HEAD_KEY, value),
            Write(HISTORY_TABLE, f"{new.version:012d}", value),
        ],
    )
    uncertain = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = await platform.table.transact(transaction)
        if isinstance(outcome, Err):
            uncertain = uncertain or outcome.err_value.uncertain
            continue
        if outcome.ok_value.committed:
            return Ok(new)
        return await _resolve_conflict(platform, new)
    detail = "the table did not answer"
    return Err(RollRefusal("platform", detail, uncertain=uncertain))


async def _resolve_conflict(platform: Platform, new: Head) -> Result[Head, RollRefusal]:
    """Distinguish a conflicting roll from an own write whose response was lost."""
    history = await platform.table.read(HISTORY_TABLE, f"{new.version:012d}")
    if isinstance(history, Err):
        detail = "the head moved, but the table did not say by whom"
        return Err(RollRefusal("platform", detail, uncertain=True))
    decoded = _decode_head(history.ok_value)
    if isinstance(decoded, Err):
        return Err(RollRefusal("platform", decoded.err_value.detail, uncertain=True))
    winner, _ = decoded.ok_value
    if winner is not None and winner.operation == new.operation:
        return Ok(winner)
    who = f" by {winner.rolled_by}" if winner is not None else ""
    detail = f"version {new.version} was rolled{who} at the same time"
    return Err(RollRefusal("conflict", detail, winner=winner))


def _version_refusal(bundle: schema.Bundle, head: Head | None) -> RollRefusal | None:
    """Return a refusal unless the bundle's version directly follows the head's, else None."""
    expected = head.version + 1 if head is not None else 1
    if bundle.version == expected:
        return None
    current = f"head is version {head.version}" if head is not None else "there is no head"
    detail = f"the bundle is version {bundle.version}, but {current}: {expected} comes next"
    kind = "older" if bundle.version < expected else "gap"
    return RollRefusal(kind, detail, winner=head)


async def history(platform: Platform) -> Result[list[Head], PlatformFailure]:
    """Return the accepted versions, oldest first, at most `MAX_HISTORY_ROWS`."""
    outcome = await platform.table.scan(HISTORY_TABLE, "", MAX_HISTORY_ROWS)
    if isinstance(outcome, Err):
        return outcome
    heads = (decode_row(HISTORY_TABLE, row, Head) for row in outcome.ok_value)
    return Ok([head for head in heads if head is not None])


def _decode_head(row: Row | None) -> Result[tuple[Head | None, int], PlatformFailure]:
    """Return the head that a row holds and the version of the row; a failure if it can't be read.

    A head that can't be read must not pass for none: another version would be rolled over it.
    """
    if row is None:
        return Ok((None, ABSENT))
    head = decode_row(HEAD_TABLE, row, Head)
    if head is None:
        return Err(PlatformFailure(Part.TABLE, "the head can't be read", uncertain=False))
    return Ok((head, row.version))
