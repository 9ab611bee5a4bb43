"""Connects the membership to the other parts of an instance."""

from typing import Protocol

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch import Dispatcher, HallStatus
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._entry_selection import is_serving_callers
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._membership_host import MembershipHost
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._store_availability import StoreAvailability
from whinrack.edge._stream_origins import StreamOriginExchange
from whinrack.edge._suspects import SuspectExchange
from whinrack.edge._tokens import TokenExchange
from whinrack.gossip import (
    Message,
    RemovedTarget,
    StreamAnswer,
    StreamBegan,
    StreamQuestion,
    SuspectCases,
)
from whinrack.store import MeteredStore

__all__ = ["HostedInstance", "InstanceHost"]

# Time allowed for the answer to a watch, beyond the time for which the watch is held.
_WATCH_REPLY_MARGIN_SECONDS = 1.0
# An answer this recent shows that the store is reached, although an order waits for a slow writer.
_FRESH_ANSWER_SECONDS = 0.5


class HostedInstance(Protocol):
    """The parts of an instance that `InstanceHost` uses."""

    options: EdgeOptions
    dispatcher: Dispatcher
    grant_manager: GrantManager
    availability: StoreAvailability
    store: MeteredStore
    knowledge: StoreKnowledge
    halls: HallKnowledge
    suspects: SuspectExchange
    stream_origins: StreamOriginExchange
    tokens: TokenExchange


class InstanceHost(MembershipHost):
    """Implements `MembershipHost` for one instance.

    Parameters
    ----------
    instance : HostedInstance
    """

    def __init__(self, instance: HostedInstance):
        self.instance = instance
        self._is_serving = False

    def count_open_requests(self) -> int:
        """Return the number of requests in progress."""
        return self.instance.dispatcher.requests_in_progress

    def is_serving_callers(self, now: float) -> bool:
        """Return whether callers send requests here; the platform's probes alone do not count."""
        rate = self.instance.dispatcher.arrivals.rate(now)
        self._is_serving = is_serving_callers(rate, self._is_serving)
        return self._is_serving

    def has_spendable_tokens(self) -> bool:
        """Return whether this instance holds unspent tokens."""
        return self.instance.grant_manager.has_spendable_tokens

    def is_store_reachable(self) -> bool:
        """Return whether the store can be reached."""
        return (
            self.instance.availability.is_available
            and self.instance.grant_manager.is_store_reachable
        )

    def has_recent_store_answer(self) -> bool:
        """Return whether the store has answered a call recently."""
        silent = steady() - self.instance.store.last_answer_at
        if silent < _FRESH_ANSWER_SECONDS:
            return True
        longest = self.instance.options.watch_seconds + _WATCH_REPLY_MARGIN_SECONDS
        return self.is_store_reachable() and silent < longest

    def recently_removed_targets(self) -> list[RemovedTarget]:
        """Return the targets whose records were deleted recently."""
        return self.instance.knowledge.recently_removed()

    def merge_removed_targets(self, removed: list[RemovedTarget]) -> None:
        """Remove the targets that a peer reports as deleted."""
        self.instance.knowledge.merge_removed(removed)

    def merge_halls(self, statuses: list[HallStatus], peer: str) -> None:
        """Apply a peer's statements on emptied data halls."""
        self.instance.halls.merge(statuses, peer)

    def handle_newer_configuration(self, peer: HostPort) -> None:
        """Fetch the configuration from a peer that has a newer one."""
        self.instance.knowledge.catch_up(peer)

    def handle_store_reachable(self) -> None:
        """Probe the store again, since a peer reaches it."""
        self.instance.knowledge.handle_store_reachable()

    def receive(self, message: Message, address: HostPort) -> None:
        """Dispatch a peer's message on suspected requests, on streams or on tokens."""
        if isinstance(message, SuspectCases):
            self.instance.suspects.receive(message, address)
        elif isinstance(message, StreamBegan | StreamQuestion | StreamAnswer):
            self.instance.stream_origins.receive(message, address)
        else:
            self.instance.tokens.receive(message, address)

    def suspects_checksum(self) -> int:
        """Return the checksum of the requests that are suspected of crashing targets."""
        return self.instance.suspects.checksum()

    def compare_suspects(self, checksum: int, peer: HostPort) -> None:
        """Exchange suspected requests with a peer whose checksum differs."""
        self.instance.suspects.compare(checksum, peer)
