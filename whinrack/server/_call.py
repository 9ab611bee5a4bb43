"""State of one request while a router handles it, common to all protocols."""

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
    """Return the request class from the header, or the workspace's default."""
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
    """Return the clock time by which a request must end."""
    seconds = request.read_deadline()
    limit = pool.request_timeout
    return request.arrived_at + (limit if seconds is None else min(seconds, limit))


class Call:
    """State of one request while it is handled.

    Parameters
    ----------
    identity : RequestIdentity
        Identity of the request.
    caller : Caller
        Workspace and budget that pay.
    decision : RouteDecision
        The result of the routing program.
    body : bytes
        Body that is sent to the target.
    digest_parts : tuple of bytes
        Parts of the request that must be the same each time an idempotency key is used.
    deadline : float
        Clock time by which the request must end.
    is_repeatable : bool
        Whether the request may run again after an attempt that may have run.
    affinity_key : str
        Key for the choice of a target.
    request : HttpRequest
        The caller's request.
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
        # State at run time.
        self.attempts = 0
        self.avoided_targets: tuple[str, ...] = ()
        self.slot: Slot | None = None
        self.answer: SharedAnswer | None = None
        self.has_claim = False
        self.provisional_against = ""
        self.has_ended = False

    @property
    def ticket(self) -> Ticket | None:
        """The ticket that the caller sent, if any."""
        return decode_ticket(self.request.header(TICKET_HEADER))

    def time_left(self) -> float:
        """Return the seconds until the deadline, at least 0.001."""
        return max(0.001, self.deadline - steady())
