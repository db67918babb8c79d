"""The commands `moledale bundle status`, `moledale fleet show` and `moledale report burn`."""

import argparse
import time
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from moledale.bundle.schema import Bundle, parse
from moledale.decoding import decode_json
from moledale.edge.operators import NodeStatus
from moledale.node.burn import WINDOWS_S, BurnCount, BurnPage, BurnRow, burn_rows
from moledale.ui.client import NodeClient
from moledale.ui.output import Exit, print_error, print_json, print_table

STATUS_PATH = "/admin/v1/status"


def _fetch_statuses(client: NodeClient) -> Result[tuple[list[NodeStatus], list[str]], str]:
    """Return the status of every node that one node lists, and the errors of those that failed."""
    first = client.get(STATUS_PATH)
    if isinstance(first, Err):
        return first
    if first.ok_value.status != 200:
        return Err(f"{first.ok_value.node} answered {first.ok_value.status}")
    listing = decode_json(first.ok_value.body, NodeStatus)
    addresses = list(listing.nodes.values()) or [first.ok_value.node]
    statuses, failures = [], []
    for answer in client.get_each(addresses, STATUS_PATH):
        if isinstance(answer, Ok) and answer.ok_value.status == 200:
            statuses.append(decode_json(answer.ok_value.body, NodeStatus))
        elif isinstance(answer, Ok):
            failures.append(f"{answer.ok_value.node} answered {answer.ok_value.status}")
        else:
            failures.append(answer.err_value)
    return Ok((sorted(statuses, key=lambda status: status.node), failures))


def bundle_status(options: argparse.Namespace, client: NodeClient) -> Exit:
    """Show the bundle version that is active on each node."""
    found = _fetch_statuses(client)
    if isinstance(found, Err):
        print_error(found.err_value)
        return Exit.FAILED
    statuses, failures = found.ok_value
    versions = {status.bundle_version for status in statuses}
    if options.json:
        nodes = [
            {"node": s.node, "version": s.bundle_version, "verdict": s.verdict} for s in statuses
        ]
        print_json({"nodes": nodes, "not_answering": failures, "agreed": len(versions) == 1})
    else:
        rows = [
            (
                s.node,
                s.bundle_version,
                s.bundle_digest[:12],
                s.verdict,
                _format_ago(s.confirmed_ago_s),
            )
            for s in statuses
        ]
        print_table(["node", "version", "digest", "standing", "confirmed"], rows)
    return _report_failures(failures) if failures or len(versions) != 1 else Exit.OK


def fleet_show(options: argparse.Namespace, client: NodeClient) -> Exit:
    """Show nodes, servers and leases."""
    found = _fetch_statuses(client)
    if isinstance(found, Err):
        print_error(found.err_value)
        return Exit.FAILED
    statuses, failures = found.ok_value
    if options.json:
        print_json({"nodes": statuses, "not_answering": failures})
        return Exit.FAILED if failures else Exit.OK
    print_table(
        ["node", "hall", "build", "version", "standing", "open", "waiting", "jobs", "leases"],
        [
            (
                s.node,
                s.hall,
                s.build or "-",
                s.bundle_version,
                "draining" if s.draining else s.verdict,
                s.open_requests,
                s.waiting,
                s.jobs,
                " ".join(s.leases) or "-",
            )
            for s in statuses
        ],
    )
    servers = {server.id: server for status in statuses for server in status.servers}
    print()
    print_table(
        ["server", "hall", "standing", "running", "models"],
        [
            (s.id, s.hall, s.standing, s.running, " ".join(s.models) or "-")
            for s in sorted(servers.values(), key=lambda server: server.id)
        ],
    )
    return _report_failures(failures) if failures else Exit.OK


def _report_failures(failures: list[str]) -> Exit:
    for failure in failures:
        print_error(failure)
    return Exit.FAILED


def _format_ago(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s ago"


def report_burn(options: argparse.Namespace, client: NodeClient) -> Exit:
    """Report the error-budget burn rate of each account."""
    found = _fetch_burn(client)
    if isinstance(found, Err):
        print_error(found.err_value)
        return Exit.FAILED
    rows, failures = found.ok_value
    if options.plot is not None:
        _plot(rows, Path(options.plot))
    if options.json:
        print_json({"rows": rows, "not_answering": failures})
        return Exit.FAILED if failures else Exit.OK
    header = ["account", "priority", "objective", "requests 1h"]
    print_table(
        [*header, *(f"burn {name}" for name in WINDOWS_S)],
        [
            (
                r.account,
                r.priority.value,
                r.objective,
                r.requests["1h"],
                *(f"{r.burn[name]:.2f}" for name in WINDOWS_S),
            )
            for r in rows
        ],
    )
    return _report_failures(failures) if failures else Exit.OK


def _fetch_burn(client: NodeClient) -> Result[tuple[list[BurnRow], list[str]], str]:
    """Return the burn rows over all nodes, and the errors of nodes that failed."""
    head = client.get("/admin/v1/bundles/head")
    found = _fetch_statuses(client)
    if isinstance(head, Err):
        return head
    if isinstance(found, Err):
        return found
    if head.ok_value.status != 200:
        return Err(f"{head.ok_value.node} answered {head.ok_value.status}")
    bundle = _parse_head(head.ok_value.body)
    addresses = sorted(set(found.ok_value[0][0].nodes.values())) if found.ok_value[0] else []
    counts: list[BurnCount] = []
    failures: list[str] = []
    for answer in client.get_each(addresses, "/admin/v1/burn"):
        if isinstance(answer, Ok) and answer.ok_value.status == 200:
            counts.extend(decode_json(answer.ok_value.body, BurnPage).counts)
        else:
            failures.append(str(answer.err_value if isinstance(answer, Err) else answer.ok_value))
    known = [c for c in counts if c.account in {a.name for a in bundle.accounts}]
    return Ok((burn_rows(bundle, known, time.time()), failures))


def _parse_head(body: bytes) -> Bundle:
    return parse("head", decode_json(body, dict[str, Any])["bundle"]["body"].encode()).unwrap()


def _plot(rows: list[BurnRow], target: Path) -> None:
    """Plot the burn rate of each account and priority over the windows."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5), layout="constrained")
    names = list(WINDOWS_S)
    width = 0.8 / max(1, len(rows))
    for index, row in enumerate(rows):
        positions = [tick + index * width for tick in range(len(names))]
        label = f"{row.account}, {row.priority.value}"
        axes.bar(positions, [row.burn[name] for name in names], width, label=label)
    axes.axhline(1.0, color="black", linewidth=0.8, linestyle="--")
    axes.set_xticks([tick + 0.4 - width / 2 for tick in range(len(names))], names)
    axes.set_xlabel("window")
    axes.set_ylabel("error-budget burn rate (1 = exactly at the objective)")
    if rows:
        axes.legend(fontsize="small")
    figure.savefig(target)
