"""The entry point of ``sardinequay``."""

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
    # The library names the type of its own return value in private only.
    SubParsers = argparse._SubParsersAction[argparse.ArgumentParser]

Verb = Callable[[argparse.Namespace], Output]


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    made = argparse.ArgumentParser(
        prog="sardinequay",
        description="Prepare bundles, and ask a fleet what it has in force.",
        epilog="Exit codes: 0 done, 1 findings, 2 usage, 3 refused, 4 unreachable.",
    )
    made.add_argument("--json", action="store_true", help="print one JSON document")
    groups = made.add_subparsers(dest="group", required=True, metavar="GROUP")
    add_keys(groups)
    add_bundle(groups)
    add_settings(groups)
    add_fleet(groups)
    add_logs(groups)
    return made


def add_verb(
    verbs: SubParsers,
    name: str,
    verb: Verb,
) -> argparse.ArgumentParser:
    """Add a verb whose help is its docstring."""
    text = (verb.__doc__ or "").strip()
    made: argparse.ArgumentParser = verbs.add_parser(name, help=text, description=text)
    made.set_defaults(verb=verb)
    return made


def add_keys(
    groups: SubParsers,
) -> None:
    """Add the verbs of keys."""
    text = "Keys of approvers."
    group = groups.add_parser("key", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    made = add_verb(verbs, "make", bundle_verbs.keygen)
    made.add_argument("key", type=Path, help="where the private key is to go")


def add_bundle(
    groups: SubParsers,
) -> None:
    """Add the verbs of bundles."""
    text = "Bundles: what is offered, to whom, and by which policy."
    group = groups.add_parser("bundle", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    made = add_verb(verbs, "lint", bundle_verbs.lint_verb)
    made.add_argument("contents", type=Path, help="what is offered, in JSON")
    made = add_verb(verbs, "build", bundle_verbs.build_verb)
    made.add_argument("contents", type=Path, help="what is offered, in JSON")
    made.add_argument("--version", type=positive, required=True, help="from 1, rising")
    made.add_argument("--note", default="", help="a word for those who approve")
    made.add_argument("--out", type=Path, required=True, help="a directory")
    made = add_verb(verbs, "diff", bundle_verbs.diff_verb)
    made.add_argument("old", type=Path, help="contents, in JSON")
    made.add_argument("new", type=Path, help="contents, in JSON")
    made = add_verb(verbs, "sign", bundle_verbs.sign_verb)
    made.add_argument("root", type=Path, help="the root to approve, rewritten")
    made.add_argument("--key", type=Path, required=True, help="a private key")
    made.add_argument("--key-id", required=True, help="its name in the settings")
    for name, verb in (
        ("verify", bundle_verbs.verify_verb),
        ("roll", bundle_verbs.roll_verb),
    ):
        made = add_verb(verbs, name, verb)
        made.add_argument("root", type=Path, help="an approved root")
        made.add_argument("--settings", type=Path, required=True, help="of any host")
        made.add_argument("--blobs", type=Path, help="default: beside the root")
        if name == "roll":
            text = "the directory that the platform publishes"
            made.add_argument("--publish", type=Path, required=True, help=text)


def add_settings(
    groups: SubParsers,
) -> None:
    """Add the verbs of settings."""
    text = "Settings of hosts."
    group = groups.add_parser("settings", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    made = add_verb(verbs, "check", fleet_verbs.settings_check)
    made.add_argument("settings", type=Path, help="a settings file")


def add_fleet(
    groups: SubParsers,
) -> None:
    """Add the verbs that ask a fleet."""
    text = "A running fleet, asked, and changed by one verb only."
    group = groups.add_parser("fleet", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    made = add_verb(verbs, "status", fleet_verbs.status)
    add_hosts(made)
    made = add_verb(verbs, "explain", fleet_verbs.explain)
    made.add_argument("id", help="of a request, load-TOKEN, evict-TOKEN or bundle")
    add_hosts(made)
    made = add_verb(verbs, "quarantine", fleet_verbs.quarantine)
    add_hosts(made)
    made = add_verb(verbs, "lift", fleet_verbs.lift)
    made.add_argument("content", help="as `quarantine` names it")
    add_hosts(made)


def add_logs(
    groups: SubParsers,
) -> None:
    """Add the verbs that read collected logs."""
    text = "Logs collected from hosts."
    group = groups.add_parser("logs", help=text, description=text)
    verbs = group.add_subparsers(dest="name", required=True, metavar="VERB")
    made = add_verb(verbs, "explain", log_verbs.explain)
    made.add_argument("id", help="of a request")
    add_files(made)
    made = add_verb(verbs, "losses", log_verbs.losses)
    add_files(made)


def add_files(made: argparse.ArgumentParser) -> None:
    """Add the files of logs to read."""
    made.add_argument("files", nargs="+", type=Path, help="lines of JSON, any hosts'")


def add_hosts(made: argparse.ArgumentParser) -> None:
    """Add the option that names the hosts to ask."""
    made.add_argument(
        "--hosts",
        nargs="+",
        required=True,
        metavar="IP:PORT",
        help="operators' listeners",
    )


def positive(text: str) -> int:
    """Read a whole number above zero."""
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"{value} is below 1")
    return value


def main(words: Sequence[str] | None = None) -> int:
    """Run the command; return its exit code."""
    arguments = parser().parse_args(words)
    try:
        output: Output = arguments.verb(arguments)
    except CommandError as error:
        print(f"sardinequay: {error}", file=sys.stderr)
        return error.exit_code
    print(output.render(arguments.json))
    return output.exit_code


if __name__ == "__main__":
    sys.exit(main())
