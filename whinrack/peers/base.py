"""What a daemon answers to its peers; the server calls these in green threads."""

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
    """A peer's word on itself, and the leaving instances that it knows of."""

    member: Member
    leaving_instances: list[str]


class FeedUpdate(NamedTuple):
    """Configuration changes up to a revision."""

    revision: int
    objects: list[StoredObject]


class ConsultQuery(msgspec.Struct, frozen=True, kw_only=True):
    """The question whether the asker may run a request."""

    identity: str
    digest: bytes
    asker: str
    lost_owner: str = ""
    repeatable: bool = True
    home: str = ""


class AnswerPart(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of an answer that a peer joins.

    Attributes
    ----------
    status : int
        HTTP status, on the first part only; else 0.
    is_final : bool
        The last part of a whole answer.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_final: bool = False


class FeedSubscription:
    """Wakes a peer's feed when the configuration here has changed."""

    def wait(self, seconds: float) -> None:
        """Return after a change, or after some seconds."""
        raise NotImplementedError


class PeerHandlers:
    """The calls that peers make."""

    config: ConfigStore

    def receive_heartbeat(self, sender: Member, leaving: Sequence[str]) -> PeerReport:
        """Take in a peer's word and answer with one's own."""
        raise NotImplementedError

    def draw(self, order: DrawOrder) -> Result[DrawResult, WhinrackError]:
        """Draw from the platform for a peer."""
        raise NotImplementedError

    def give_tokens(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int
    ) -> int:
        """Hand tokens to a peer; returns the cumulative total."""
        raise NotImplementedError

    def consult(self, query: ConsultQuery) -> ConsultReply:
        """Tell whether a peer may run a request."""
        raise NotImplementedError

    def take_over_memory(self, home: str, entries: list[HandoverEntry]) -> None:
        """Take over the memory of a home that stops as planned."""
        raise NotImplementedError

    def join_answer(self, identity: str) -> Iterator[AnswerPart]:
        """Yield the answer of a request that runs or ran here."""
        raise NotImplementedError

    def subscribe(self) -> FeedSubscription:
        """Follow the configuration in force here."""
        raise NotImplementedError
