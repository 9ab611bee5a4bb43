"""Typed datagrams, encoded as MessagePack by `msgspec`."""

import msgspec
import xxhash

from whinrack.budgets import DrawOrder, DrawResult, ReleasedRow, RunRelease
from whinrack.dispatch import HallStatus, LimitReport
from whinrack.quarantine import Case

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
    "SuspectCases",
    "TargetLoads",
    "TokenReply",
    "TokenRequest",
    "message_name",
]


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Where an instance hears datagrams."""

    name: str
    host: str
    port: int

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, as sockets take them."""
        return self.host, self.port


class PeerState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What an instance says of itself; peers pass it on.

    Attributes
    ----------
    incarnation : str
        This run of the instance.
    sequence : int
        Grows with each change of the state that others should know.
    sender : PeerAddress
    callers : str
        Where callers connect, "host:port".
    data_hall : str
    ready : bool
        Whether callers should be sent here.
    store_answers : bool
        Whether the sender's calls to the store, if it makes any, get answers.
    store_confirmed : bool
        Whether the store has answered a call of the sender within the last seconds. An
        instance that is fed by a peer makes no calls, so it can't know.
    load : int
        Requests in progress.
    configuration : int
        Version in force, 0 if none is known.
    serving : bool
        Whether callers' requests came lately.
    holds_tokens : bool
        Whether it has unspent tokens that a peer might get.
    bandwidth : float
        Of the instance's network link, Mbit/s; 0 if it isn't known.
    cores : float
        Processor time that the instance may use, seconds a second; 0 if it isn't known.
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

    @property
    def digest(self) -> int:
        """A short name of the run."""
        return xxhash.xxh32_intdigest(self.incarnation.encode())


class RemovedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target whose record is gone, and the version that the record had last."""

    incarnation: str
    version: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat", kw_only=True):
    """An instance's word on itself and on what it has heard.

    Attributes
    ----------
    state : PeerState
    number : int
        Grows by one with each heartbeat of the run.
    wall : float
        The sender's time of day, seconds since the epoch.
    leaving : list of str
        Incarnations of targets that are known to be leaving.
    gone : list of GoneTarget
        Targets whose records have gone lately.
    peers : list of PeerAddress
        Other instances that the sender heard lately.
    passed_on : list of PeerState
        States of others that are news, in fleets too large for each to hear all.
    ages : dict of int to int
        How long ago others were heard, hundredths of a second, by `PeerState.digest`.
    asks_for_states : bool
        The sender lacks the states of some that it hears of.
    suspects : int
        Checksum of the requests that the sender suspects of ending targets; 0 for none.
    leaving_started : list of int
        The starts of those in `leaving`, in the same order; older senders tell none.
    halls : list of HallWord
        What is known of data halls that were emptied; older senders tell nothing.
    limits : list of LimitWord
        What targets in need say that they take; older senders tell nothing.
    misses_peers : bool
        The sender itself misses an instance that was there and did not say that it stops.
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


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a peer for unspent tokens of a budget.

    Attributes
    ----------
    question : int
        Returned with the reply.
    receiver : str
        The asking run.
    already_received : int
        Cumulative tokens that the asker has from this peer's run.
    giver : str
        The run that is asked; another run doesn't answer.
    draw : bool
        The peer should draw from the books what it doesn't hold.
    supply : bool
        The peer draws this budget ahead and should reply at once with what it has.
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
    """What a run has given to another in all; repeating it changes nothing.

    Attributes
    ----------
    question : int
        The request that is answered; 0 if the giver says it unasked.
    covering : int
        Tokens of open requests at the giver, and of ended ones not in the books yet.
    """

    request_id: int
    budget: str
    giver: str
    receiver: str
    total: int
    unreported_use: int = 0


class DrawRequest(msgspec.Struct, frozen=True, array_like=True, tag="draw"):
    """One holder's orders, for the peer that writes the books for all."""

    request_id: int
    orders: list[DrawOrder]


class DrawAccepted(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """The writer has the orders and waits for the store."""

    request_id: int


class DrawReply(msgspec.Struct, frozen=True, array_like=True, tag="drawn"):
    """The state of the budgets after a write, as far as it concerns the asker.

    Attributes
    ----------
    books : dict of str to DrawResult, or None
        None if the writer couldn't write; the orders may have been applied.
    """

    request_id: int
    results: dict[str, DrawResult] | None


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Asks the writer of an account to give back what earlier runs of the sender held."""

    request_id: int
    account: str
    release: RunRelease


class ReleaseReply(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """What was given back.

    Attributes
    ----------
    rows : list of ReleasedRow, or None
        None if the writer couldn't write; it may have been done all the same.
    """

    request_id: int
    rows: list[ReleasedRow] | None


class TargetLoads(msgspec.Struct, frozen=True, array_like=True, tag="loads"):
    """An instance's requests in flight.

    Attributes
    ----------
    sender : str
        The instance.
    counts : dict of int to int
        Requests by the digests of their targets; others have none.
    unread : dict of int to int
        Prompt tokens that the targets have to read for them, likewise.
    """

    sender: str
    request_counts: dict[int, int]
    unread_prompt_tokens: dict[int, int] = {}


class SuspectCases(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """What the sender knows of requests under which targets ended."""

    sender: str
    cases: list[Case]


Message = (
    Heartbeat
    | TokenRequest
    | TokenReply
    | DrawRequest
    | DrawAccepted
    | DrawReply
    | ReleaseRequest
    | ReleaseReply
    | SuspectCases
    | TargetLoads
)


_WITH_STATES_SUFFIX = "+states"


def message_name(message: Message) -> str:
    """Return the name by which messages of a kind are counted.

    Heartbeats that pass states on are many times as long as others, and counted apart.
    """
    name = message.__struct_config__.tag
    if isinstance(message, Heartbeat) and message.passed_on:
        return name + _WITH_STATES_SUFFIX
    return name
