"""TLS between hosts: both sides must have certificates of the same authority."""

from collections.abc import AsyncIterator
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from returns.result import Failure, Success

from sardinequay_core.names import Address
from sardinequay_daemon.errors import StartError
from sardinequay_daemon.messages import FetchRoot, RootReply
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.peers import PeerClient, PeerServer
from sardinequay_daemon.settings import TlsSettings
from sardinequay_daemon.shared_settings import TimingSettings
from sardinequay_daemon.tls import client_context, server_context

IP = "127.0.0.1"


def make_certificate(directory: Path, name: str) -> TlsSettings:
    """Create a self-signed certificate, which is its own authority."""
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    key = ec.generate_private_key(ec.SECP256R1())
    valid_from = datetime.now(UTC) - timedelta(days=1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(valid_from)
        .not_valid_after(valid_from + timedelta(days=30))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    files = directory / f"{name}.pem", directory / f"{name}.key"
    files[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(str(files[0]), str(files[1]), str(files[0]))


@pytest.fixture
async def address(tmp_path: Path, metrics: Metrics) -> AsyncIterator[Address]:
    server = PeerServer(metrics)

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    server.register(FetchRoot, answer)
    context = server_context(make_certificate(tmp_path, "ours"))
    listener = await server.start(Address(IP, 0), context)
    yield Address(IP, listener.sockets[0].getsockname()[1])
    listener.close()
    server.close()


async def test_peer_with_the_same_authority_is_answered(
    address: Address, tmp_path: Path, metrics: Metrics, timing: TimingSettings
) -> None:
    ours = TlsSettings(
        *[str(tmp_path / n) for n in ("ours.pem", "ours.key", "ours.pem")]
    )
    caller = PeerClient(timing, metrics, IP, client_context(ours))
    assert isinstance(await caller.call(address, FetchRoot()), Success)
    caller.close()


@pytest.mark.parametrize("shows_another", [True, False])
async def test_peer_without_a_trusted_certificate_is_not_answered(
    address: Address,
    tmp_path: Path,
    metrics: Metrics,
    timing: TimingSettings,
    shows_another: bool,
) -> None:
    theirs = make_certificate(tmp_path, "theirs") if shows_another else None
    caller = PeerClient(timing, metrics, IP, client_context(theirs))
    assert isinstance(await caller.call(address, FetchRoot()), Failure)
    caller.close()


def test_missing_key_file_raises_start_error() -> None:
    with pytest.raises(StartError, match="bad key"):
        server_context(TlsSettings("nowhere.pem", "nowhere.key"))
