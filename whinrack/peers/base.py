"""Interface between the gRPC server and the daemon that answers its peers.

Handlers that may block run in green threads; the others run on the event loop.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgspec
from returns.result import Result

from whinrack.budgets import DrawOrder, DrawResult
from whinrack.exceptions import WhinrackError
from whinrack.feed import ConfigStore
from whinrack.membership import Member
from whinrack.requests import ConsultReply, HandoverEntry
from whinrack.store import StoredObject

__all__ = [
    "FLEET_KEY_HEADER",
    "AnswerPart",
    "ConsultQuery",
    "FeedSubscription",
    "FeedUpdate",
    "PeerHandlers",
    "PeerReport",
]

FLEET_KEY_HEADER = "whinrack-fleet-key"


class PeerReport(NamedTuple):
    """A peer's member record of itself, and the leaving instances that it knows of."""

    member: Member
    leaving_instances: list[str]


class FeedUpdate(NamedTuple):
    """Configuration changes up to and including a revision."""

    revision: int
    objects: list[StoredObject]


class ConsultQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks whether an incarnation may run a request.

    Attributes
    ----------
    identity : str
        Name of the request's identity.
    digest : bytes
        Digest of the request's body.
    asker : str
        Incarnation that wants to run the request.
    lost_owner : str
        Owner of the request that could not be reached, "" if there is none.
    home : str
        Incarnation whose request memory is meant, "" for the receiver's own.
    """

    identity: str
    digest: bytes
    asker: str
    lost_owner: str = ""
    repeatable: bool = True
    home: str = ""


class AnswerPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of an answer that is sent to a peer.

    Attributes
    ----------
    status : int
        HTTP status on the first part, 0 on the others.
    is_final : bool
        Marks the last part of a complete answer.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_final: bool = False


class FeedSubscription:
    """Wakes the feed of a peer when this daemon's configuration has changed."""

    def wait(self, seconds: float) -> None:
        """Wait for a change, at most the given seconds."""
        raise NotImplementedError


class PeerHandlers:
    """Handlers of the calls that peers make."""

    config: ConfigStore

    def receive_heartbeat(self, sender: Member, leaving_instances: Sequence[str]) -> PeerReport:
        """Record a peer's heartbeat and return this daemon's report on itself."""
        raise NotImplementedError

    def draw(self, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Draw tokens from the platform for a peer."""
        raise NotImplementedError

    def give_tokens(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int
    ) -> int:
        """Give spare tokens to a peer.

        Returns
        -------
        int
            The total that the peer has been given, earlier transfers included.
        """
        raise NotImplementedError

    def consult(self, query: ConsultQuery) -> ConsultReply:
        """Decide whether a peer may run a request."""
        raise NotImplementedError

    def take_over_memory(self, home: str, entries: list[HandoverEntry]) -> None:
        """Take over request memory of a home that is in a planned stop."""
        raise NotImplementedError

    def join_answer(self, identity: str) -> Iterator[AnswerPart]:
        """Yield the answer of a request that runs or ran at this instance."""
        raise NotImplementedError

    def subscribe(self) -> FeedSubscription:
        """Return a subscription to changes of this daemon's configuration."""
        raise NotImplementedError
