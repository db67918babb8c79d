"""`moledale`: the operators' command-line tool."""

import argparse
import os
import sys
from collections.abc import Callable
from pathlib import Path

from result import Err

from moledale import __version__
from moledale.gateway.settings import load as load_gateway
from moledale.settings import load, read_secrets
from moledale.ui import bundle_commands, explain_command, fleet_commands
from moledale.ui.client import NodeClient
from moledale.ui.output import Exit, print_json, report_findings

NODES_VARIABLE = "MOLEDALE_NODES"
TOKEN_VARIABLE = "MOLEDALE_OPERATOR_TOKEN"

Command = Callable[[argparse.Namespace], Exit]


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = _parser().parse_args(arguments)
    command: Command = options.command
    try:
        return int(command(options))
    except BrokenPipeError:
        # The reader closed the pipe, as `| head` does; that is not an error.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
        return Exit.OK
    except KeyboardInterrupt:
        return 130


def _client(options: argparse.Namespace) -> NodeClient:
    addresses = options.node or os.environ.get(NODES_VARIABLE, "").split()
    return NodeClient(tuple(addresses), os.environ.get(TOKEN_VARIABLE, ""))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="moledale",
        description="Sign and roll out bundles, and inspect the fleet.",
        epilog="Exit codes: 0 done, 1 failed, 2 findings or wrong usage, 3 another roll won, "
        f"4 outcome unknown. Nodes come from --node or {NODES_VARIABLE}, the operators' token "
        f"from {TOKEN_VARIABLE}.",
    )
    parser.add_argument("--version", action="version", version=f"moledale {__version__}")
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_bundle(groups)
    _add_other_groups(groups)
    return parser


def _add_bundle(groups: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    bundle = groups.add_parser("bundle", help="check, compare, sign off and roll bundles")
    commands = bundle.add_subparsers(required=True, metavar="COMMAND")
    check = _add_command(commands, "check", bundle_commands.check, "validate a bundle")
    check.add_argument("file", metavar="FILE", help="a bundle, or - for standard input")
    diff = _add_remote_command(commands, "diff", bundle_commands.diff, "show what a bundle changes")
    diff.add_argument("file", metavar="FILE")
    diff.add_argument("--against", metavar="FILE", help="instead of the head")
    sign = _add_command(commands, "sign", bundle_commands.sign, "sign a bundle off")
    sign.add_argument("file", metavar="FILE")
    sign.add_argument("--key", required=True, metavar="PEM")
    sign.add_argument("--operator", required=True, metavar="NAME")
    roll = _add_remote_command(commands, "roll", bundle_commands.roll, "roll a signed bundle")
    roll.add_argument("file", metavar="FILE")
    roll.add_argument("--signatures", metavar="FILE", help="instead of FILE.sig")
    _add_remote_command(
        commands, "status", fleet_commands.bundle_status, "show the version on each node"
    )
    _add_remote_command(commands, "history", bundle_commands.history, "list the accepted versions")


def _add_other_groups(groups: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    fleet = groups.add_parser("fleet", help="look at nodes, servers and leases")
    commands = fleet.add_subparsers(required=True, metavar="COMMAND")
    _add_remote_command(
        commands, "show", fleet_commands.fleet_show, "show nodes, servers and leases"
    )
    settings = groups.add_parser("settings", help="check a node's settings")
    commands = settings.add_subparsers(required=True, metavar="COMMAND")
    check = _add_command(commands, "check", _check_settings, "validate a settings file")
    check.add_argument("file", metavar="FILE", type=Path)
    check.add_argument("--gateway", action="store_true", help="the file is a gateway node's")
    check.add_argument("--secrets", action="store_true", help="read the secrets too")
    report = groups.add_parser("report", help="reports over all nodes")
    commands = report.add_subparsers(required=True, metavar="COMMAND")
    burn = _add_remote_command(commands, "burn", fleet_commands.report_burn, "error-budget burn")
    burn.add_argument("--plot", metavar="FILE", help="also plot it: .svg, .png or .pdf")
    explain = _add_command(
        groups, "explain", explain_command.explain, "show a request's events from logs"
    )
    explain.add_argument("request", metavar="ID")
    explain.add_argument("files", metavar="FILE", nargs="+", help="logs of nodes, or -")
    key = groups.add_parser("key", help="operators' keys")
    commands = key.add_subparsers(required=True, metavar="COMMAND")
    new = _add_command(commands, "new", bundle_commands.new_key, "make a key pair")
    new.add_argument("--out", required=True, metavar="PEM", help="file for the private key")


def _add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    command: Command,
    text: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=text, description=text)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(command=command)
    return parser


def _add_remote_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    command: Callable[[argparse.Namespace, NodeClient], Exit],
    text: str,
) -> argparse.ArgumentParser:
    """Add a command that calls nodes."""
    parser = _add_command(commands, name, lambda options: command(options, _client(options)), text)
    parser.add_argument("--node", action="append", metavar="HOST:PORT", help="may be repeated")
    return parser


def _check_settings(options: argparse.Namespace) -> Exit:
    """Validate a settings file; with --secrets, check that each secret can be read too."""
    if options.gateway:
        return _check_gateway_settings(options)
    settings = load(options.file)
    if isinstance(settings, Err):
        return report_findings(settings.err_value, options.json)
    if options.secrets:
        secrets = read_secrets(str(options.file), settings.ok_value)
        if isinstance(secrets, Err):
            return report_findings(secrets.err_value, options.json)
    if options.json:
        print_json({"node": settings.ok_value.node.id, "findings": []})
    else:
        print(f"{options.file}: no findings")
    return Exit.OK


def _check_gateway_settings(options: argparse.Namespace) -> Exit:
    settings = load_gateway(options.file)
    if isinstance(settings, Err):
        return report_findings(settings.err_value, options.json)
    if options.json:
        print_json({"node": settings.ok_value.node.id, "findings": []})
    else:
        print(f"{options.file}: no findings")
    return Exit.OK


if __name__ == "__main__":
    sys.exit(main())
