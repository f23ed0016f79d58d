"""Entry point and argument parser of the ``sardinequay`` command."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from . import bundle_verbs, fleet_verbs, log_verbs
from .errors import CommandError
from .output import Output

if TYPE_CHECKING:
    # argparse has no public name for the type that `add_subparsers` returns.
    SubParsers = argparse._SubParsersAction[argparse.ArgumentParser]

Verb = Callable[[argparse.Namespace], Output]


def make_parser() -> argparse.ArgumentParser:
    """Build the argument parser."""
    parser = argparse.ArgumentParser(
        prog="sardinequay",
        description="Prepare bundles, check settings, and query hosts and their logs.",
        epilog="Exit codes: 0 done, 1 findings, 2 usage, 3 refused, 4 unreachable.",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    groups = parser.add_subparsers(dest="group", required=True, metavar="GROUP")
    add_key_verbs(groups)
    add_bundle_verbs(groups)
    add_settings_verbs(groups)
    add_fleet_verbs(groups)
    add_log_verbs(groups)
    return parser


def add_verb(
    verbs: SubParsers,
    name: str,
    verb: Verb,
) -> argparse.ArgumentParser:
    """Add a verb; its docstring is the help text."""
    text = (verb.__doc__ or "").strip()
    verb_parser: argparse.ArgumentParser = verbs.add_parser(
        name, help=text, description=text
    )
    verb_parser.set_defaults(verb=verb)
    return verb_parser


def add_key_verbs(
    groups: SubParsers,
) -> None:
    """Add the verbs for approvers' keys."""
    text = "Approvers' keys."
    group = groups.add_parser("key", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    verb_parser = add_verb(verbs, "make", bundle_verbs.make_key_verb)
    verb_parser.add_argument("key", type=Path, help="file to write the private key to")


def add_bundle_verbs(
    groups: SubParsers,
) -> None:
    """Add the verbs for bundles."""
    text = "Bundles: signed lists of callers, pools, adapters and policies."
    group = groups.add_parser("bundle", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    verb_parser = add_verb(verbs, "lint", bundle_verbs.lint_verb)
    verb_parser.add_argument(
        "contents", type=Path, help="contents of the bundle, in JSON"
    )
    verb_parser = add_verb(verbs, "build", bundle_verbs.build_verb)
    verb_parser.add_argument(
        "contents", type=Path, help="contents of the bundle, in JSON"
    )
    verb_parser.add_argument(
        "--version",
        type=positive_int,
        required=True,
        help="1 or more, higher than the last",
    )
    verb_parser.add_argument("--note", default="", help="a note for the approvers")
    verb_parser.add_argument("--out", type=Path, required=True, help="output directory")
    verb_parser = add_verb(verbs, "diff", bundle_verbs.diff_verb)
    verb_parser.add_argument("old", type=Path, help="old contents, in JSON")
    verb_parser.add_argument("new", type=Path, help="new contents, in JSON")
    verb_parser = add_verb(verbs, "sign", bundle_verbs.sign_verb)
    verb_parser.add_argument(
        "root", type=Path, help="the root to approve; the file is rewritten"
    )
    verb_parser.add_argument(
        "--key", type=Path, required=True, help="file of the private key"
    )
    verb_parser.add_argument(
        "--key-id", required=True, help="name of the key in the settings"
    )
    for name, verb in (
        ("verify", bundle_verbs.verify_verb),
        ("roll", bundle_verbs.roll_verb),
    ):
        verb_parser = add_verb(verbs, name, verb)
        verb_parser.add_argument("root", type=Path, help="an approved root")
        verb_parser.add_argument(
            "--settings", type=Path, required=True, help="settings file of any host"
        )
        verb_parser.add_argument(
            "--blobs", type=Path, help="directory of blobs; default: the root's"
        )
        if name == "roll":
            text = "the directory that the platform publishes"
            verb_parser.add_argument("--publish", type=Path, required=True, help=text)


def add_settings_verbs(
    groups: SubParsers,
) -> None:
    """Add the verbs for hosts' settings."""
    text = "Hosts' settings files."
    group = groups.add_parser("settings", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    verb_parser = add_verb(verbs, "check", fleet_verbs.settings_check_verb)
    verb_parser.add_argument("settings", type=Path, help="a settings file")


def add_fleet_verbs(
    groups: SubParsers,
) -> None:
    """Add the verbs that query running hosts."""
    text = "Queries to running hosts; only `lift` changes anything."
    group = groups.add_parser("fleet", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    verb_parser = add_verb(verbs, "status", fleet_verbs.status_verb)
    add_hosts_option(verb_parser)
    verb_parser = add_verb(verbs, "explain", fleet_verbs.explain_verb)
    verb_parser.add_argument(
        "id", help="a request's id, load-TOKEN, evict-TOKEN or bundle"
    )
    add_hosts_option(verb_parser)
    verb_parser = add_verb(verbs, "versions", fleet_verbs.versions_verb)
    add_hosts_option(verb_parser)
    verb_parser = add_verb(verbs, "quarantine", fleet_verbs.quarantine_verb)
    add_hosts_option(verb_parser)
    verb_parser = add_verb(verbs, "lift", fleet_verbs.lift_verb)
    verb_parser.add_argument(
        "content", help="digest of the content, as `quarantine` shows it"
    )
    add_hosts_option(verb_parser)


def add_log_verbs(
    groups: SubParsers,
) -> None:
    """Add the verbs that read collected logs."""
    text = "Logs collected from hosts."
    group = groups.add_parser("logs", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    verb_parser = add_verb(verbs, "explain", log_verbs.explain_verb)
    verb_parser.add_argument("id", help="id of the request")
    add_files_argument(verb_parser)
    verb_parser = add_verb(verbs, "losses", log_verbs.losses_verb)
    add_files_argument(verb_parser)


def add_files_argument(verb_parser: argparse.ArgumentParser) -> None:
    """Add the argument that names the log files."""
    verb_parser.add_argument(
        "files",
        nargs="+",
        type=Path,
        help="log files of any hosts, one JSON object a line",
    )


def add_hosts_option(verb_parser: argparse.ArgumentParser) -> None:
    """Add the option that names the hosts to query."""
    verb_parser.add_argument(
        "--hosts",
        nargs="+",
        required=True,
        metavar="IP:PORT",
        help="operator listeners of hosts",
    )


def positive_int(text: str) -> int:
    """Parse a whole number above zero."""
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"{value} is below 1")
    return value


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        output: Output = arguments.verb(arguments)
    except CommandError as error:
        print(f"sardinequay: {error}", file=sys.stderr)
        return error.exit_code
    print(output.render(arguments.json))
    return output.exit_code


if __name__ == "__main__":
    sys.exit(main())
