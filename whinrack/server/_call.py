"""One request on its way through a router, whatever its protocol."""

from whinrack.clock import steady
from whinrack.exceptions import BadRequest
from whinrack.objects import RequestClass, TargetPool
from whinrack.requests import RequestIdentity, Ticket, body_digest, decode_ticket
from whinrack.routing import RouteDecision
from whinrack.server._admission import Slot
from whinrack.server._answers import SharedAnswer
from whinrack.server._auth import Caller
from whinrack.server._http import CLASS_HEADER, TICKET_HEADER, HttpRequest

__all__ = ["Call", "deadline_of", "request_class_of"]


def request_class_of(request: HttpRequest, caller: Caller) -> RequestClass:
    """Return the class that a caller asks for, or its workspace's."""
    text = request.header(CLASS_HEADER).lower()
    if not text:
        return caller.workspace.default_class
    try:
        return RequestClass(text)
    except ValueError as error:
        allowed = ", ".join(RequestClass)
        raise BadRequest(
            f"{CLASS_HEADER}: allowed is one of {allowed}", param=CLASS_HEADER
        ) from error


def deadline_of(request: HttpRequest, pool: TargetPool) -> float:
    """Return the clock time by which a request must have ended."""
    seconds = request.read_deadline()
    limit = pool.request_timeout
    return request.arrived_at + (limit if seconds is None else min(seconds, limit))


class Call:
    """One request on its way, whatever its protocol.

    Parameters
    ----------
    identity : Identity
        Who it is.
    caller : Caller
        Who pays.
    decision : RouteDecision
        Where it may go.
    body : bytes
        What is sent to the target.
    digest_parts : tuple of bytes
        What must be the same each time a key is used.
    deadline : float
        Clock time by which it must have ended.
    is_repeatable : bool
        Whether it may run again after a try that may have run.
    affinity_key : str
        For the pickers.
    request : HttpRequest
        As it came.
    """

    def __init__(
        self,
        identity: RequestIdentity,
        caller: Caller,
        decision: RouteDecision,
        body: bytes,
        digest_parts: tuple[bytes, ...],
        deadline: float,
        is_repeatable: bool,
        affinity_key: str,
        request: HttpRequest,
    ):
        self.identity = identity
        self.caller = caller
        self.decision = decision
        self.body = body
        self.digest = body_digest(*digest_parts)
        self.deadline = deadline
        self.is_repeatable = is_repeatable
        self.affinity_key = affinity_key
        self.request = request
        # Learnt at run time.
        self.attempts = 0
        self.avoided_targets: tuple[str, ...] = ()
        self.slot: Slot | None = None
        self.answer: SharedAnswer | None = None
        self.has_claim = False
        self.provisional_against = ""
        self.has_ended = False

    @property
    def ticket(self) -> Ticket | None:
        """The ticket that the caller sent."""
        return decode_ticket(self.request.header(TICKET_HEADER))

    def time_left(self) -> float:
        """Return the seconds until the deadline, never quite nothing."""
        return max(0.001, self.deadline - steady())
