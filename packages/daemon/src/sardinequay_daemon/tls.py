"""TLS contexts from the files that settings name."""

import ssl

from .errors import StartError
from .settings import TlsSettings

EXIT_BAD_KEY = 4


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return what a listener uses; it asks for certificates if an authority is set."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    load_certificates(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return what calls to peers use: the same certificate, the other side checked."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are named by IP numbers that change; the authority vouches for them.
    context.check_hostname = False
    load_certificates(context, tls)
    return context


def load_certificates(context: ssl.SSLContext, tls: TlsSettings) -> None:
    """Load the key, the certificate and the authority."""
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        message = f"bad key or certificate {tls.certificate}: {error}"
        raise StartError(message, EXIT_BAD_KEY) from error
