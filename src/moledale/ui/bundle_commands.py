"""The commands `moledale bundle …` and `moledale key new`."""

import argparse
import os
import sys
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from moledale.bundle import schema, signing, store
from moledale.bundle.diff import changes
from moledale.decoding import decode_json
from moledale.findings import Finding
from moledale.ui.client import Answer, NodeClient
from moledale.ui.output import Exit, print_error, print_json, print_table, report_findings

STDIN = "-"
SIGNATURE_SUFFIX = ".sig"


def read_body(name: str) -> Result[bytes, list[Finding]]:
    """Read a bundle from a file, or from standard input for `-`."""
    if name == STDIN:
        return Ok(sys.stdin.buffer.read())
    try:
        return Ok(Path(name).read_bytes())
    except OSError as error:
        return Err([Finding(name, "", f"can't be read: {error.strerror}")])


def _parse_file(name: str) -> Result[tuple[bytes, schema.Bundle], list[Finding]]:
    body = read_body(name)
    if isinstance(body, Err):
        return body
    parsed = schema.parse("standard input" if name == STDIN else name, body.ok_value)
    return parsed.map(lambda bundle: (body.ok_value, bundle))


def check(options: argparse.Namespace) -> Exit:
    """Validate a bundle."""
    parsed = _parse_file(options.file)
    if isinstance(parsed, Err):
        return report_findings(parsed.err_value, options.json)
    body, bundle = parsed.ok_value
    summary = {
        "name": bundle.name,
        "version": bundle.version,
        "digest": signing.digest(body),
        "models": len(bundle.models),
        "accounts": len(bundle.accounts),
        "halls": len(bundle.halls),
    }
    if options.json:
        print_json(summary)
    else:
        print_table(["bundle", "value"], list(summary.items()))
    return Exit.OK


def diff(options: argparse.Namespace, client: NodeClient) -> Exit:
    """Show what a bundle changes relative to another file or the head."""
    after = _parse_file(options.file)
    if isinstance(after, Err):
        return report_findings(after.err_value, options.json)
    before: schema.Bundle | None
    if options.against is not None:
        parsed = _parse_file(options.against)
        if isinstance(parsed, Err):
            return report_findings(parsed.err_value, options.json)
        before = parsed.ok_value[1]
    else:
        answer = client.get("/admin/v1/bundles/head")
        if isinstance(answer, Err):
            print_error(answer.err_value)
            return Exit.FAILED
        if answer.ok_value.status not in (200, 404):
            return _report_unexpected_status(answer.ok_value)
        before = _bundle_of_head(answer.ok_value)
    found = changes(before, after.ok_value[1])
    if options.json:
        print_json([{"path": c.path, "before": c.before, "after": c.after} for c in found])
    else:
        print_table(["path", "before", "after"], [(c.path, c.before, c.after) for c in found])
    return Exit.OK


def _bundle_of_head(answer: Answer) -> schema.Bundle | None:
    """Return the bundle in a node's response, or None if none has been rolled yet."""
    if answer.status == 404:
        return None
    data = decode_json(answer.body, dict[str, Any])
    return schema.parse("head", data["bundle"]["body"].encode()).unwrap()


def sign(options: argparse.Namespace) -> Exit:
    """Sign a bundle; the signature is written next to the file, or to standard output for `-`."""
    parsed = _parse_file(options.file)
    if isinstance(parsed, Err):
        return report_findings(parsed.err_value, options.json)
    body, bundle = parsed.ok_value
    try:
        key = signing.load_private_key(Path(options.key).read_bytes())
    except OSError as error:
        print_error(f"{options.key}: can't be read: {error.strerror}")
        return Exit.FINDINGS
    if key is None:
        print_error(f"{options.key}: is not an Ed25519 private key")
        return Exit.FINDINGS
    signature = signing.sign(body, options.operator, key)
    if options.file == STDIN:
        print_json([signature])
        return Exit.OK
    target = Path(options.file + SIGNATURE_SUFFIX)
    existing = _read_signatures(target)
    if isinstance(existing, Err):
        return report_findings(existing.err_value, options.json)
    kept = [other for other in existing.ok_value if other.operator != options.operator]
    target.write_bytes(msgspec.json.encode([*kept, signature]))
    if options.json:
        print_json({"file": str(target), "operator": options.operator, "version": bundle.version})
    else:
        print(f"{target}: version {bundle.version} signed off by {options.operator}")
    return Exit.OK


def _read_signatures(path: Path) -> Result[list[signing.Signature], list[Finding]]:
    if not path.exists():
        return Ok([])
    try:
        return Ok(decode_json(path.read_bytes(), list[signing.Signature]))
    except (OSError, msgspec.DecodeError) as error:
        return Err([Finding(str(path), "", f"is not a list of signatures: {error}")])


def roll(options: argparse.Namespace, client: NodeClient) -> Exit:
    """Send a signed bundle to a node, which makes it the head."""
    parsed = _parse_file(options.file)
    if isinstance(parsed, Err):
        return report_findings(parsed.err_value, options.json)
    path = options.signatures or options.file + SIGNATURE_SUFFIX
    signatures = _read_signatures(Path(path))
    if isinstance(signatures, Err):
        return report_findings(signatures.err_value, options.json)
    signed = store.SignedBundle(parsed.ok_value[0].decode(), signatures.ok_value)
    answer = client.post("/admin/v1/bundles", msgspec.json.encode(signed))
    if isinstance(answer, Err):
        print_error(f"{answer.err_value}; run the same roll again to find out")
        return Exit.UNCERTAIN
    return _report_roll(answer.ok_value, options.json)


def _report_roll(answer: Answer, as_json: bool) -> Exit:
    if answer.status == 201:
        head = decode_json(answer.body, store.Head)
        if as_json:
            print_json(head)
        else:
            print(f"version {head.version} ({head.digest[:12]}) is the head")
        return Exit.OK
    if answer.status not in (409, 422, 503):
        return _report_unexpected_status(answer)
    try:
        refusal = decode_json(answer.body, store.RollRefusal)
    except msgspec.DecodeError:
        return _report_unexpected_status(answer)
    if as_json:
        print_json(refusal)
    print_error(refusal.detail)
    for finding in refusal.findings:
        print_error(finding)
    if refusal.kind == "invalid":
        return Exit.FINDINGS
    if refusal.kind == "platform":
        return Exit.UNCERTAIN if refusal.uncertain else Exit.FAILED
    return Exit.CONFLICT


def history(options: argparse.Namespace, client: NodeClient) -> Exit:
    """List the accepted bundle versions."""
    answer = client.get("/admin/v1/bundles")
    if isinstance(answer, Err):
        print_error(answer.err_value)
        return Exit.FAILED
    if answer.ok_value.status != 200:
        return _report_unexpected_status(answer.ok_value)
    heads = decode_json(answer.ok_value.body, list[store.Head])
    if options.json:
        print_json(heads)
    else:
        rows = [(h.version, h.name, h.digest[:12], h.rolled_by, h.rolled_at) for h in heads]
        print_table(["version", "name", "digest", "signed off by", "rolled at"], rows)
    return Exit.OK


def _report_unexpected_status(answer: Answer) -> Exit:
    print_error(f"{answer.node} answered {answer.status}: {answer.body.decode(errors='replace')}")
    return Exit.FAILED


def new_key(options: argparse.Namespace) -> Exit:
    """Generate an operator's key pair; write the private key to a file and print the public key."""
    pem = signing.generate_private_key()
    target = Path(options.out)
    try:
        handle = os.open(target, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        print_error(f"{target}: can't be created: {error.strerror}")
        return Exit.FAILED
    with os.fdopen(handle, "wb") as file:
        file.write(pem)
    key = signing.load_private_key(pem)
    assert key is not None, "the key was just generated"
    public = signing.encode_public_key(key)
    if options.json:
        print_json({"private_key": str(target), "public_key": public})
    else:
        print(public)
    return Exit.OK
