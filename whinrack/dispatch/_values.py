"""Protocol-independent values of the request pipeline."""

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
    """Whether a request may be repeated after a failure."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class WeightedPool(msgspec.Struct, frozen=True):
    """A pool and the relative weight with which a route chooses it."""

    pool: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A rule that sends requests of a host and path prefix to pools of targets.

    Attributes
    ----------
    path_prefix : str
        Path prefix, with a leading and a trailing slash.
    timeout : float
        Maximum seconds for a request, including retries.
    priority : int
        0 is the most urgent.
    goal : float
        Seconds within which an answer should begin, 0 if not stated.
    gap_goal : float
        Longest pause between events that is in time, in seconds, 0 if not stated.
    max_attempts : int
        Maximum number of targets that one request is sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be continued at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    weighted_pools: tuple[WeightedPool, ...]
    priority: int = 0
    goal: float = 0.0
    gap_goal: float = 0.0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def can_run_again(self) -> bool:
        """Whether a request that may have run can be sent to another target."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable


class EngineCapacity(msgspec.Struct, frozen=True):
    """Capacity of each engine of a pool.

    Attributes
    ----------
    slots : int
        Requests that one engine runs concurrently.
    token_capacity : int
        Tokens that fit into the memory of one engine.
    max_event_tokens : int
        Maximum tokens in one event of a stream.
    """

    slots: int
    token_capacity: int
    max_event_tokens: int


class ColdStart(msgspec.Struct, frozen=True):
    """Limits of targets that have just started.

    Attributes
    ----------
    seconds : float
        Seconds after a start for which a target is cold.
    rate : float
        Requests per second that a cold target accepts from all instances together.
    """

    seconds: float
    rate: float


class PoolRecord(msgspec.Struct, frozen=True):
    """A pool of targets.

    Attributes
    ----------
    max_connections : int
        Connections that one target accepts from all instances together, 0 for no limit.
    engine : EngineCapacity or None
        None for services without engines.
    cold_start : ColdStart or None
        None if a target accepts its full load right after its start.
    health_path : str
        Path at which targets answer health checks.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    cold_start: ColdStart | None = None
    health_path: str = "/"


class WorkspaceRecord(msgspec.Struct, frozen=True):
    """A workspace with its keys, its priority and its prepaid token limit (None: unlimited)."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    token_limit: int | None = None


class TargetRecord(msgspec.Struct, frozen=True):
    """The record of one start of a target.

    Attributes
    ----------
    incarnation : str
        The target's name. A target may restart under the same name; name and start time
        together identify one start.
    is_leaving : bool
        Whether the target accepts no new requests.
    started : int
        Unix time of its start in milliseconds, 0 if unknown.
    revision : int
        The store's revision of the record, 0 if unknown.
    cold_seconds_left : float or None
        Seconds for which the target is cold, counted from when the record was written; None if
        the record does not say.
    software_version : str
        Version of the target's software, empty if unknown.
    """

    incarnation: str
    pool: str
    host: str
    port: int
    data_hall: str = ""
    slots: int = 1
    is_leaving: bool = False
    started: int = 0
    revision: int = 0
    cold_seconds_left: float | None = 0.0
    software_version: str = ""

    @property
    def identity(self) -> str:
        """Identifier of this start: name and start time, or the name if the time is unknown."""
        return f"{self.incarnation}@{self.started}" if self.started else self.incarnation

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the target listens on."""
        return self.host, self.port

    def is_different_start(self, other: "TargetRecord") -> bool:
        """Return whether two records of one name belong to different known starts."""
        if 0 not in (self.started, other.started) and self.started != other.started:
            return True
        # The software of a process does not change while it runs.
        versions = (self.software_version, other.software_version)
        return "" not in versions and versions[0] != versions[1]

    def is_older_than(self, other: "TargetRecord") -> bool:
        """Return whether another record of the same name is newer.

        The store's revisions take precedence over start times: a start time in the future,
        written by another program, must not make valid records look outdated.
        """
        if 0 not in (self.revision, other.revision):
            return self.revision < other.revision
        return self.started < other.started


class TargetsView(msgspec.Struct, frozen=True):
    """Revision and age of the target list that a choice is based on.

    Attributes
    ----------
    revision : int
        The store's revision of the list.
    age : float
        Seconds since the store confirmed that revision.
    source : str
        Where the latest update came from: the store or a peer.
    """

    revision: int = 0
    age: float = 0.0
    source: str = ""

    def __str__(self) -> str:
        return f"{format_revision(self.revision)}@{self.age:.1f} {self.source}"


class DeclaredTokens(msgspec.Struct, frozen=True):
    """Maximum tokens that a request can use, as declared by its caller."""

    prompt: int
    output: int

    @property
    def total(self) -> int:
        """Prompt and output tokens together."""
        return self.prompt + self.output


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share."""

    name: bytes
    tokens: int = 0


class IncomingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed request of a caller.

    Attributes
    ----------
    request_id : bytes
        Id of one attempt of the caller; each retry has a new one.
    headers : Headers
        Headers that are forwarded to the target.
    key : str
        The caller's key, empty if there is none.
    deadline_seconds : float or None
        Seconds that the caller will wait.
    declared_tokens : DeclaredTokens or None
        None if the caller declares no token limits.
    prompt_parts : tuple of PromptPart
        Parts in order; the last one belongs to this request alone.
    resume_after : int or None
        Id of the last event that the caller has received.
    resumed_id : bytes
        Id of the caller's attempt that received the first event of the stream that this request
        continues; empty if the caller names none.
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
    resumed_id: bytes = b""


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it is sent to one target.

    Attributes
    ----------
    seconds_left : float
        Time that the target has to answer.
    workspace : str
        Empty on public routes.
    """

    request: IncomingRequest
    incarnation: str
    workspace: str
    seconds_left: float
    priority: int
    resume_after: int | None
