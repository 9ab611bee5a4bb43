"""Identity of requests, which is the same for every retry and at every instance."""

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
    """Workspace of a request and the key that its caller gave it.

    Attributes
    ----------
    workspace : str
        Workspace that pays for the request.
    key : str
        The Idempotency-Key of the caller, or a new id if there is none.
    has_caller_key : bool
        Whether the key comes from the caller, who can then refer to the request again.
    """

    workspace: str
    key: str
    has_caller_key: bool

    @property
    def name(self) -> str:
        """The identity as one string, the same at every instance."""
        return f"{self.workspace}/{self.key}"

    @property
    def request_id(self) -> str:
        """Short id that depends only on the identity."""
        return f"{xxhash.xxh3_128_hexdigest(self.name.encode())}"

    @classmethod
    def from_header(cls, workspace: str, header: str) -> "RequestIdentity":
        """Create the identity from the Idempotency-Key header, "" if there is none.

        Raises
        ------
        BadRequest
            If the key is too long or contains characters other than printable ASCII.
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
    """Home of a request, returned with the address to use and sent back with each attempt."""

    home: str


def new_request_id() -> str:
    """Return an id for a request whose caller gave no key."""
    return f"anon-{secrets.token_hex(_REQUEST_ID_BYTES)}"


def body_digest(*parts: bytes) -> bytes:
    """Return a digest of a body, to detect that a key is reused with another one."""
    hasher = xxhash.xxh3_128()
    for part in parts:
        hasher.update(part)
        hasher.update(b"\x00")
    return hasher.digest()


def encode_ticket(ticket: Ticket) -> str:
    """Encode a ticket as the value of a header."""
    return _TICKET_PREFIX + ticket.home


def decode_ticket(header: str) -> Ticket | None:
    """Decode a ticket; return None if the header is empty or not a valid ticket."""
    if not header.startswith(_TICKET_PREFIX) or len(header) > _MAX_KEY_LENGTH:
        return None
    return Ticket(home=header.removeprefix(_TICKET_PREFIX))
