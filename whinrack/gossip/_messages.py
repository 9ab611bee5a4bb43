"""Gossip messages, encoded as MessagePack by `msgspec`."""

import msgspec
import xxhash

from whinrack.budgets import DrawOrder, DrawResult, ReleasedRow, RunRelease
from whinrack.dispatch import HallStatus, LimitReport
from whinrack.quarantine import Case
from whinrack.streams import StreamOrigin, UnsettledStart

__all__ = [
    "DrawAccepted",
    "DrawReply",
    "DrawRequest",
    "RemovedTarget",
    "Heartbeat",
    "Message",
    "PeerAddress",
    "PeerState",
    "ReleaseReply",
    "ReleaseRequest",
    "StreamAnswer",
    "StreamBegan",
    "StreamQuestion",
    "SuspectCases",
    "TargetLoads",
    "TokenReply",
    "TokenRequest",
    "message_name",
]


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Name of an instance and the address on which it receives datagrams."""

    name: str
    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """Host and port as the `socket` module expects them."""
        return self.host, self.port


class PeerState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of an instance as it reports it; peers pass it on.

    Attributes
    ----------
    incarnation : str
        Run of the instance.
    sequence : int
        Incremented with each change of the state that is to be passed on.
    sender : PeerAddress
    callers : str
        Address that callers connect to, "host:port".
    data_hall : str
    ready : bool
        Whether callers should be sent to the instance.
    store_answers : bool
        Whether the instance's calls to the store are answered, if it makes any.
    store_confirmed : bool
        Whether the store has answered a call of the instance within the last seconds. False for
        an instance that gets its configuration from a peer, as it does not call the store.
    load : int
        Requests in progress.
    configuration : int
        Version of the configuration in force, 0 if none is known.
    serving : bool
        Whether callers have sent requests recently.
    holds_tokens : bool
        Whether it has unspent tokens that a peer might get.
    bandwidth : float
        Bandwidth of the instance's network link, Mbit/s; 0 if unknown.
    cores : float
        Processor time available to the instance, seconds per second; 0 if unknown.
    accepts_forwarded : bool
        Whether the instance handles requests that peers forward; False from older senders.
    lost_pools : tuple of int
        Digests of the pools whose targets the instance has lost contact with.
    keeps_stream_versions : bool
        Whether the instance continues streams only at their software version; False from older
        senders.
    doubted_pools : tuple of int
        Digests of the pools of which the instance does not know yet whether it reaches them; empty
        from older senders.
    """

    incarnation: str
    sequence: int
    sender: PeerAddress
    callers: str
    data_hall: str
    ready: bool
    store_answers: bool
    load: int
    configuration: int
    serving: bool = False
    holds_tokens: bool = False
    bandwidth: float = 0.0
    cores: float = 0.0
    store_confirmed: bool = False
    accepts_forwarded: bool = False
    lost_pools: tuple[int, ...] = ()
    keeps_stream_versions: bool = False
    doubted_pools: tuple[int, ...] = ()

    @property
    def digest(self) -> int:
        """32-bit hash that identifies the run in other messages."""
        return xxhash.xxh32_intdigest(self.incarnation.encode())


class RemovedTarget(msgspec.Struct, frozen=True, array_like=True):
    """Target whose record was removed, and the last version of that record."""

    incarnation: str
    version: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat", kw_only=True):
    """Periodic message with the sender's state and its knowledge of peers and targets.

    Attributes
    ----------
    state : PeerState
    number : int
        Incremented with each heartbeat of the run.
    wall_time : float
        The sender's time of day, seconds since the epoch.
    leaving_targets : list of str
        Incarnations of targets that are known to be leaving.
    removed_targets : list of RemovedTarget
        Targets whose records were removed recently.
    peers : list of PeerAddress
        Other instances that the sender has heard recently.
    passed_on : list of PeerState
        Changed states of other instances, in fleets that are no full mesh.
    ages : dict of int to int
        Time since other instances were heard, hundredths of a second, by `PeerState.digest`.
    requests_states : bool
        Whether the sender misses the states of instances that others report.
    suspects_checksum : int
        Checksum of the requests that the sender suspects of ending targets; 0 for none.
    leaving_start_times : list of int
        Start times of the targets in `leaving_targets`, in the same order; empty from older
        senders.
    emptied_halls : list of HallStatus
        Known evacuations of data halls; empty from older senders.
    target_limits : list of LimitReport
        Rates that overloaded targets have stated; empty from older senders.
    has_missing_peers : bool
        Whether the sender itself has lost contact with an instance that did not announce its
        stop.
    brittle_limits : list of LimitReport
        Refusals per second beyond which targets fall over, as they have stated; empty from older
        senders.
    ended_targets : list of tuple of str and int
        Names and start times of targets that seemed to have ended recently; empty from older
        senders.
    alive_targets : list of tuple of str and int
        Names and start times of targets that the receiver has reported as ended and that the
        sender reached after that; empty from older senders.
    """

    state: PeerState
    number: int = 0
    wall_time: float = 0.0
    leaving_targets: list[str] = []
    removed_targets: list[RemovedTarget] = []
    peers: list[PeerAddress] = []
    passed_on: list[PeerState] = []
    ages: dict[int, int] = {}
    requests_states: bool = False
    suspects_checksum: int = 0
    leaving_start_times: list[int] = []
    emptied_halls: list[HallStatus] = []
    target_limits: list[LimitReport] = []
    has_missing_peers: bool = False
    brittle_limits: list[LimitReport] = []
    ended_targets: list[tuple[str, int]] = []
    alive_targets: list[tuple[str, int]] = []


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Request to a peer for unspent tokens of a budget.

    Attributes
    ----------
    request_id : int
        Returned with the reply.
    receiver : str
        The requesting run.
    already_received : int
        Cumulative number of tokens that the receiver has got from the giver.
    giver : str
        The run that is asked; other runs of the instance ignore the request.
    allow_draw : bool
        Whether the giver should draw from the account what it does not hold.
    to_supplier : bool
        Whether the giver is asked as the supplier of the budget, which draws tokens ahead and
        replies at once with what it has.
    """

    request_id: int
    budget: str
    receiver: str
    giver: str
    already_received: int
    need: int
    want: int
    allow_draw: bool = False
    to_supplier: bool = False


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag="give"):
    """Total number of tokens that a run has given to another; idempotent.

    Attributes
    ----------
    request_id : int
        The request that is answered; 0 if the message is unsolicited.
    total : int
        Cumulative number of tokens given.
    unreported_use : int
        Tokens of open requests at the giver, and of ended requests that are not yet reported to
        the account.
    """

    request_id: int
    budget: str
    giver: str
    receiver: str
    total: int
    unreported_use: int = 0


class DrawRequest(msgspec.Struct, frozen=True, array_like=True, tag="draw"):
    """Orders of one holder, for the peer that writes the account for the fleet.

    Attributes
    ----------
    is_relayed : bool
        Whether the sender was asked to write them itself and left it to the receiver, who must
        not leave it to yet another instance.
    """

    request_id: int
    orders: list[DrawOrder]
    is_relayed: bool = False


class DrawAccepted(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Acknowledgement that the writer has a request and waits for the store."""

    request_id: int


class DrawReply(msgspec.Struct, frozen=True, array_like=True, tag="drawn"):
    """Result of a `DrawRequest` after the write.

    Attributes
    ----------
    results : dict of str to DrawResult, or None
        Results by budget; None if the write failed, in which case the orders may still have been
        applied.
    """

    request_id: int
    results: dict[str, DrawResult] | None


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Request to the writer of an account to release the tokens of an instance's earlier runs.

    Attributes
    ----------
    is_relayed : bool
        See `DrawRequest`.
    """

    request_id: int
    account: str
    release: RunRelease
    is_relayed: bool = False


class ReleaseReply(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """Result of a `ReleaseRequest`.

    Attributes
    ----------
    rows : list of ReleasedRow, or None
        The rows that were released; None if the write failed, in which case it may still have
        been applied.
    """

    request_id: int
    rows: list[ReleasedRow] | None


class TargetLoads(msgspec.Struct, frozen=True, array_like=True, tag="loads"):
    """Requests in flight from an instance to its targets.

    Attributes
    ----------
    sender : str
        Name of the instance.
    request_counts : dict of int to int
        Requests in flight by the digest of the target; targets without requests are left out.
    unread_prompt_tokens : dict of int to int
        Prompt tokens that the targets have yet to process for these requests, by digest.
    first_events : list of tuple
        Latest first events: the digest of the target, the prompt tokens that it had to process
        until then, and the time that it took in units of 0.1 ms.
    """

    sender: str
    request_counts: dict[int, int]
    unread_prompt_tokens: dict[int, int] = {}
    first_events: list[tuple[int, int, int]] = []


class SuspectCases(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Cases of requests that were running when targets ended, as the sender knows them."""

    sender: str
    cases: list[Case]


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="began"):
    """Where a stream began; sent to the homes of the stream.

    Attributes
    ----------
    unsettled : UnsettledStart or None
        Given while a later start of the target may have sent the first event.
    """

    key: bytes
    origin: StreamOrigin
    unsettled: UnsettledStart | None = None


class StreamQuestion(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """Question where a stream began.

    Attributes
    ----------
    number : int
        Returned with the answer.
    """

    number: int
    key: bytes


class StreamAnswer(msgspec.Struct, frozen=True, array_like=True, tag="origin_is"):
    """Answer to a `StreamQuestion`; `origin` is None if the sender does not know it.

    Attributes
    ----------
    seconds_left : float
        Seconds until the origin is settled, 0 if it is.
    """

    number: int
    origin: StreamOrigin | None
    seconds_left: float = 0.0


Message = (
    Heartbeat
    | TokenRequest
    | TokenReply
    | DrawRequest
    | DrawAccepted
    | DrawReply
    | ReleaseRequest
    | ReleaseReply
    | StreamAnswer
    | StreamBegan
    | StreamQuestion
    | SuspectCases
    | TargetLoads
)


_WITH_STATES_SUFFIX = "+states"


def message_name(message: Message) -> str:
    """Return the name under which the traffic of a kind of message is counted.

    Heartbeats that pass states on are counted separately because they are many times as long as
    others.
    """
    name = message.__struct_config__.tag
    if isinstance(message, Heartbeat) and message.passed_on:
        return name + _WITH_STATES_SUFFIX
    return name
