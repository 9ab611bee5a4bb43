"""Mutual TLS between daemons, with the certificates named in the settings."""

from eventlet.patcher import original

__all__ = ["client_context", "server_context"]

# asyncio does its own TLS I/O and needs the module as it was before eventlet patched it.
_ssl = original("ssl")


def server_context(certificate: str, private_key: str, authority: str):
    """Return a context that requires a client certificate of the fleet's authority."""
    context = _ssl.SSLContext(_ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = _ssl.CERT_REQUIRED
    return _load(context, certificate, private_key, authority)


def client_context(certificate: str, private_key: str, authority: str):
    """Return a context that presents a certificate and verifies the peer's.

    Peers are addressed by IP, so only the authority is verified, not the host name.
    """
    context = _ssl.SSLContext(_ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, certificate, private_key, authority)


def _load(context, certificate, private_key, authority):
    context.minimum_version = _ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificate, private_key)
    context.load_verify_locations(authority)
    context.set_alpn_protocols(["h2"])
    return context
