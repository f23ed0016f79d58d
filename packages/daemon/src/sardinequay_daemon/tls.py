"""Creates TLS contexts from the certificate and key files in the settings."""

import ssl

from .errors import StartError
from .settings import TlsSettings

EXIT_BAD_KEY = 4


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return a listener's TLS context; with an authority, clients need certificates."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_certificates(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context of calls to peers; it verifies their certificates."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are addressed by IP addresses that change, so certificates are verified
    # against the authority only, not against host names.
    context.check_hostname = False
    load_certificates(context, tls)
    return context


def load_certificates(context: ssl.SSLContext, tls: TlsSettings) -> None:
    """Load the key, the certificate and the authority into a context.

    Raises
    ------
    StartError
        If a file cannot be read or is not valid.
    """
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        message = f"bad key or certificate {tls.certificate}: {error}"
        raise StartError(message, EXIT_BAD_KEY) from error
