"""Verbs for bundles (build, lint, diff, sign, verify, roll) and approvers' keys."""

from argparse import Namespace
from collections.abc import Sequence
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success

from sardinequay_core.approval import (
    RootComparison,
    SignedRoot,
    add_approval,
    compare_roots,
    encode_signed_root,
    root_digest,
    valid_approvers,
    verify_signed_root,
)
from sardinequay_core.bundle import Bundle, assemble_bundle, build_bundle
from sardinequay_core.bundle_diff import diff_contents
from sardinequay_core.bundle_lint import Finding, lint_contents, lint_sizes

from .errors import EXIT_FINDINGS, EXIT_REFUSED, CommandError
from .files import (
    ROOT_FILE_NAME,
    public_key_hex,
    read_approval_policy,
    read_blobs,
    read_bytes,
    read_contents,
    read_private_key,
    read_signed_root,
    write_atomically,
    write_blobs,
    write_private_key,
    write_signed_root,
)
from .output import Output


def make_key_verb(arguments: Namespace) -> Output:
    """Generate an approver's key pair."""
    key = Ed25519PrivateKey.generate()
    write_private_key(arguments.key, key)
    public = public_key_hex(key)
    lines = (f"private key: {arguments.key}", f"public key: {public}")
    return Output(lines, {"private_key": str(arguments.key), "public_key": public})


def findings_output(findings: Sequence[Finding]) -> Output:
    """Return lint findings as output; the exit code states whether there are any."""
    lines = tuple(str(f) for f in findings) or ("no findings",)
    document = {
        "findings": [
            {"where": f.where, "value": f.value, "allowed": f.allowed} for f in findings
        ]
    }
    return Output(lines, document, EXIT_FINDINGS if findings else 0)


def lint_verb(arguments: Namespace) -> Output:
    """Check the contents of a bundle for faults."""
    contents = read_contents(arguments.contents)
    findings = lint_contents(contents)
    if not findings:
        built = build_bundle(contents, 1)
        findings = lint_sizes(built, len(encode_signed_root(SignedRoot(built.root))))
    return findings_output(findings)


def build_verb(arguments: Namespace) -> Output:
    """Build a root and blobs from contents without faults."""
    contents = read_contents(arguments.contents)
    findings = lint_contents(contents)
    if findings:
        return findings_output(findings)
    built = build_bundle(contents, arguments.version, arguments.note)
    write_blobs(arguments.out, built.blobs)
    signed = SignedRoot(built.root)
    write_signed_root(arguments.out / ROOT_FILE_NAME, signed)
    size = sum(len(blob) for blob in built.blobs.values())
    digest = root_digest(built.root)
    line = f"version {arguments.version}, {len(built.blobs)} blobs, {size} bytes"
    document = {
        "version": arguments.version,
        "digest": digest,
        "blobs": len(built.blobs),
        "bytes": size,
    }
    return Output((line, f"root {digest}"), document)


def diff_verb(arguments: Namespace) -> Output:
    """Show the differences between two contents files."""
    differences = diff_contents(
        read_contents(arguments.old), read_contents(arguments.new)
    )
    lines = tuple(str(difference) for difference in differences) or ("no differences",)
    document = {
        "differences": [
            {
                "where": difference.where,
                "change": difference.change,
                "details": difference.details,
            }
            for difference in differences
        ]
    }
    return Output(lines, document)


def sign_verb(arguments: Namespace) -> Output:
    """Add one approval to a root."""
    signed = read_signed_root(arguments.root)
    key = read_private_key(arguments.key)
    signed = add_approval(signed, arguments.key_id, key)
    write_signed_root(arguments.root, signed)
    key_ids = [a.key_id for a in signed.approvals]
    line = f"version {signed.root.version} approved by {', '.join(key_ids)}"
    document = {"version": signed.root.version, "approvals": key_ids}
    return Output((line,), document)


def verify_bundle(root: Path, blobs: Path, settings: Path) -> tuple[SignedRoot, Bundle]:
    """Return a bundle after the checks that a host with these settings makes.

    Raises
    ------
    CommandError
        If its approvals are not valid or a blob is missing or wrong.
    """
    verified = verify_signed_root(read_bytes(root), read_approval_policy(settings))
    if not isinstance(verified, Success):
        raise CommandError(f"refused: {verified.failure()}", EXIT_REFUSED)
    signed = verified.unwrap()
    assembled = assemble_bundle(
        signed.root, root_digest(signed.root), read_blobs(blobs)
    )
    if not isinstance(assembled, Success):
        raise CommandError(f"refused: {assembled.failure()}", EXIT_REFUSED)
    return signed, assembled.unwrap()


def verify_verb(arguments: Namespace) -> Output:
    """Check approvals and completeness of a bundle as a host does."""
    blobs = arguments.blobs or arguments.root.parent
    signed, bundle = verify_bundle(arguments.root, blobs, arguments.settings)
    approvers = sorted(
        valid_approvers(signed, read_approval_policy(arguments.settings))
    )
    line = f"version {bundle.version} is good: approved by {', '.join(approvers)}"
    document = {
        "version": bundle.version,
        "digest": bundle.digest,
        "approvers": approvers,
        "adapters": len(list(bundle.iter_adapters())),
    }
    return Output((line, f"{len(list(bundle.iter_adapters()))} adapters"), document)


def roll_verb(arguments: Namespace) -> Output:
    """Place a verified, newer bundle in the directory that the platform publishes."""
    blobs = arguments.blobs or arguments.root.parent
    signed, bundle = verify_bundle(arguments.root, blobs, arguments.settings)
    published = arguments.publish / ROOT_FILE_NAME
    if published.exists():
        comparison = compare_roots(signed.root, read_signed_root(published).root)
        if comparison is not RootComparison.NEWER:
            message = (
                f"refused: {comparison.value} when compared with the published version"
            )
            raise CommandError(message, EXIT_REFUSED)
    needed = {
        signed.root.base,
        *signed.root.index,
        *(leaf.digest for leaf in bundle.leaves),
    }
    available = read_blobs(blobs)
    # The root is written last, so that a reader of it finds every blob that it names.
    write_blobs(
        arguments.publish,
        {needed_digest: available[needed_digest] for needed_digest in needed},
    )
    write_atomically(published, encode_signed_root(signed))
    document = {"version": bundle.version, "digest": bundle.digest}
    return Output((f"version {bundle.version} is to be published",), document)
