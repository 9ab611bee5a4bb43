"""Headers that instances add to forwarded requests and their answers.

Only the listener for peers reads them. Headers of this prefix that callers or targets send are
removed before a message is forwarded.
"""

import re

import msgspec

from whinrack.exceptions import BadRequest
from whinrack.http1 import Headers, RequestHead, ResponseHead, end_to_end_headers, header_value

__all__ = [
    "ForwardingMark",
    "PeerAnswer",
    "answer_mark",
    "parse_mark",
    "read_peer_answer",
    "refusal_mark",
    "without_marks",
]

_PREFIX = b"whinrack-"
_REQUEST = b"whinrack-forwarded"
_CONFIGURATION = b"whinrack-configuration"
_REFUSAL = b"whinrack-refusal"
_MILLISECONDS_PER_SECOND = 1000.0
_REQUEST_PATTERN = re.compile(rb"(\d{1,9}),(\d{1,9}),(\d{1,18})")
_REFUSAL_PATTERN = re.compile(rb"([a-z_]{1,60}),(\d{1,9})")
# Headers that frame a body or its transmission; each hop sets its own.
_FRAMING = frozenset((b"content-length", b"expect"))


class ForwardingMark(msgspec.Struct, frozen=True):
    """What the forwarding instance states about a request.

    Attributes
    ----------
    seconds_left : float
        Time until the forwarding instance gives up.
    attempts : int
        Targets that the request was sent to before.
    configuration : int
        Version of the configuration that the request was checked with.
    """

    seconds_left: float
    attempts: int
    configuration: int

    def headers(self) -> Headers:
        """Return the mark as headers of the forwarded request."""
        milliseconds = int(self.seconds_left * _MILLISECONDS_PER_SECOND)
        return [(_REQUEST, b"%d,%d,%d" % (milliseconds, self.attempts, self.configuration))]


class PeerAnswer(msgspec.Struct, frozen=True):
    """What the head of a peer's answer states.

    Attributes
    ----------
    configuration : int
        Version of the configuration in force at the peer.
    refusal : str
        Code of the peer's own refusal, empty for the answer of a target.
    attempts : int
        Targets that a refused request was sent to, including those of `ForwardingMark.attempts`.
    """

    configuration: int
    refusal: str = ""
    attempts: int = 0


def parse_mark(head: RequestHead) -> ForwardingMark | None:
    """Return the mark of a request from a peer, None if it is not a forwarded request.

    Raises
    ------
    BadRequest
        The mark is malformed.
    """
    value = header_value(head.headers, _REQUEST)
    if not value:
        return None
    match = _REQUEST_PATTERN.fullmatch(value)
    if match is None:
        raise BadRequest("malformed mark of a forwarded request")
    milliseconds, attempts, configuration = map(int, match.groups())
    return ForwardingMark(milliseconds / _MILLISECONDS_PER_SECOND, attempts, configuration)


def answer_mark(configuration: int) -> Headers:
    """Return the headers of each answer to a forwarded request."""
    return [(_CONFIGURATION, b"%d" % configuration)]


def refusal_mark(code: str, attempts: int) -> Headers:
    """Return the additional headers of an instance's own refusal of a forwarded request."""
    return [(_REFUSAL, b"%b,%d" % (code.encode(), attempts))]


def read_peer_answer(head: ResponseHead) -> PeerAnswer | None:
    """Return what an answer states, None if it is no answer to a forwarded request."""
    configuration = header_value(head.headers, _CONFIGURATION)
    if not configuration.isdigit():
        return None
    refusal = _REFUSAL_PATTERN.fullmatch(header_value(head.headers, _REFUSAL))
    if refusal is None:
        return PeerAnswer(int(configuration))
    code, attempts = refusal.groups()
    return PeerAnswer(int(configuration), code.decode(), int(attempts))


def without_marks(headers: Headers) -> Headers:
    """Return the end-to-end headers of a message without marks and framing."""
    return [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if not name.startswith(_PREFIX) and name not in _FRAMING
    ]
