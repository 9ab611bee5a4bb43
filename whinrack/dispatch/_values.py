"""Typed values that the pipeline works on; no protocol's names are in them."""

from enum import StrEnum

import msgspec

from whinrack.http1 import Headers
from whinrack.store import format_revision

__all__ = [
    "Attempt",
    "ColdStart",
    "DeclaredTokens",
    "EngineCapacity",
    "IncomingRequest",
    "PoolRecord",
    "WeightedPool",
    "PromptPart",
    "Route",
    "RouteKind",
    "TargetRecord",
    "TargetsView",
    "WorkspaceRecord",
]


class RouteKind(StrEnum):
    """What may be done with a request after a failure."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class WeightedPool(msgspec.Struct, frozen=True):
    """The part of a route's requests that goes to one pool; weights are relative."""

    pool: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go where, and how.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash.
    timeout : float
        Most seconds that a request is held.
    priority : int
        0 is the most urgent.
    most_attempts : int
        Most targets that one request is sent to.
    public : bool
        No key is needed.
    resumable : bool
        A broken stream may go on at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    weighted_pools: tuple[WeightedPool, ...]
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def can_run_again(self) -> bool:
        """Whether a request that may have run can be sent to another target."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


class EngineCapacity(msgspec.Struct, frozen=True):
    """What is known of the engines of a pool.

    Attributes
    ----------
    slots : int
        Requests that one engine runs at once.
    memory : int
        Tokens that fit into one engine.
    event_tokens : int
        Most tokens in one event of a stream.
    """

    slots: int
    token_capacity: int
    max_event_tokens: int


class ColdStart(msgspec.Struct, frozen=True):
    """What the targets of a pool bear after they have started.

    Attributes
    ----------
    seconds : float
        For so long after a start a target is cold.
    rate : float
        Requests a second that a cold target bears from all instances together.
    """

    seconds: float
    rate: float


class PoolRecord(msgspec.Struct, frozen=True):
    """A pool of targets.

    Attributes
    ----------
    most_connections : int
        Connections that one target accepts from all instances together.
    engine : EngineCapacity or None
        None for plain services.
    cold_start : ColdStart or None
        None if a target that has just started bears as much as others.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    cold_start: ColdStart | None = None


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """A workspace, its keys and its prepaid limit in tokens, None for no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    token_limit: int | None = None


class TargetRecord(msgspec.Struct, frozen=True):
    """One start of a target.

    Attributes
    ----------
    incarnation : str
        The target's name. It may start again under it; name and start together are one start.
    leaving : bool
        It takes no new work.
    started : int
        Unix time of its start, milliseconds; 0 if it isn't known.
    version : int
        The store's revision of the record; 0 if it isn't known.
    cold_left : float or None
        Seconds for which it is cold from when the record was written; None if it doesn't say.
    """

    incarnation: str
    pool: str
    host: str
    port: int
    data_hall: str = ""
    slots: int = 1
    is_leaving: bool = False
    started: int = 0
    version: int = 0
    cold_seconds_left: float | None = 0.0

    @property
    def identity(self) -> str:
        """Name of this one start, the target's own where its start isn't known."""
        return f"{self.incarnation}@{self.started}" if self.started else self.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.host, self.port

    def is_different_start(self, other: "TargetRecord") -> bool:
        """Whether two records of one name are known to be of two starts."""
        return 0 not in (self.started, other.started) and self.started != other.started

    def is_older_than(self, other: "TargetRecord") -> bool:
        """Whether another record of the name came later.

        The store's revisions decide: a start that lies in the future, written by somebody else,
        must not keep a good record out.
        """
        if 0 not in (self.version, other.version):
            return self.version < other.version
        return self.started < other.started


class TargetsView(msgspec.Struct, frozen=True):
    """How up to date the list of targets is that a choice stands on.

    Attributes
    ----------
    revision : int
        The store's revision that the list is at.
    age : float
        Seconds since the store itself confirmed that.
    source : str
        Who told it last, the store or a peer.
    """

    revision: int = 0
    age: float = 0.0
    source: str = ""

    def __str__(self) -> str:
        return f"{format_revision(self.revision)}@{self.age:.1f} {self.source}"


class DeclaredTokens(msgspec.Struct, frozen=True):
    """The most tokens that a request can use, as its caller declares it."""

    prompt: int
    output: int

    @property
    def total(self) -> int:
        """Tokens in and out together."""
        return self.prompt + self.output


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may have too."""

    name: bytes
    tokens: int = 0


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, read.

    Attributes
    ----------
    request_id : bytes
        One attempt of the caller; new with each.
    headers : Headers
        Those that travel on to the target.
    key : str
        The caller's key, empty if there is none.
    deadline : float or None
        Seconds that the caller will wait.
    prompt_parts : tuple of PromptPart
        In order; the last is the request's own.
    resume_after : int or None
        The last event that the caller has.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str = ""
    deadline_seconds: float | None = None
    declared_tokens: DeclaredTokens | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent to one target.

    Attributes
    ----------
    seconds_left : float
        Time that the target has.
    workspace : str
        Empty on public routes.
    """

    request: IncomingRequest
    incarnation: str
    workspace: str
    seconds_left: float
    priority: int
    resume_after: int | None
