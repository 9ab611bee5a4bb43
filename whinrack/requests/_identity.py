"""Who a request is: the same through every retry, at every instance."""

import secrets

import msgspec
import xxhash

from whinrack.exceptions import BadRequest

__all__ = [
    "RequestIdentity",
    "Ticket",
    "body_digest",
    "new_request_id",
    "decode_ticket",
    "encode_ticket",
]

_MAX_KEY_LENGTH = 200
_REQUEST_ID_BYTES = 12
_TICKET_PREFIX = "t1."


class RequestIdentity(msgspec.Struct, frozen=True):
    """A request's workspace and the key that the caller gave it.

    Attributes
    ----------
    workspace : str
        The paying workspace.
    key : str
        The caller's Idempotency-Key, or a new id where it gave none.
    keyed : bool
        Whether the caller can name the request again.
    """

    workspace: str
    key: str
    has_caller_key: bool

    @property
    def name(self) -> str:
        """Return the identity as one string, the same at every instance."""
        return f"{self.workspace}/{self.key}"

    @property
    def request_id(self) -> str:
        """Return a short id that follows from the identity alone."""
        return f"{xxhash.xxh3_128_hexdigest(self.name.encode())}"

    @classmethod
    def from_header(cls, workspace: str, header: str) -> "RequestIdentity":
        """Build the identity from the Idempotency-Key header, "" if there is none.

        Raises
        ------
        BadRequest
            For a key that is too long or holds other than visible ASCII.
        """
        if not header:
            return cls(workspace, new_request_id(), has_caller_key=False)
        if len(header) > _MAX_KEY_LENGTH or not header.isascii() or not header.isprintable():
            raise BadRequest(
                f"Idempotency-Key: allowed are 1 to {_MAX_KEY_LENGTH} printable ASCII characters",
                param="Idempotency-Key",
            )
        return cls(workspace, header, has_caller_key=True)


class Ticket(msgspec.Struct, frozen=True):
    """What the answer to "which address?" gives a caller to send with each try."""

    home: str


def new_request_id() -> str:
    """Return an id for a request that its caller didn't name."""
    return f"anon-{secrets.token_hex(_REQUEST_ID_BYTES)}"


def body_digest(*parts: bytes) -> bytes:
    """Return a digest that tells whether a key is used with another body."""
    hasher = xxhash.xxh3_128()
    for part in parts:
        hasher.update(part)
        hasher.update(b"\x00")
    return hasher.digest()


def encode_ticket(ticket: Ticket) -> str:
    """Encode a ticket for a header."""
    return _TICKET_PREFIX + ticket.home


def decode_ticket(header: str) -> Ticket | None:
    """Decode a ticket; None for none at all or one that isn't ours."""
    if not header.startswith(_TICKET_PREFIX) or len(header) > _MAX_KEY_LENGTH:
        return None
    return Ticket(home=header.removeprefix(_TICKET_PREFIX))
