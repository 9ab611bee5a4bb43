"""Handlers of the calls that peers make to this daemon."""

from collections.abc import Callable, Iterator, Sequence

import eventlet
from eventlet.event import Event as GreenEvent
from returns.result import Failure, Result

from whinrack.budgets import AccountWriter, DrawOrder, DrawResult
from whinrack.clock import steady
from whinrack.exceptions import PeerUnavailable, PlatformFailure, Refusal
from whinrack.membership import Member
from whinrack.observability import Event, log_event
from whinrack.peers import (
    AnswerPart,
    ConsultQuery,
    FeedSubscription,
    PeerHandlers,
    PeerReport,
)
from whinrack.requests import ConsultDecision, ConsultReply, HandoverEntry, RunState
from whinrack.server._context import ServerContext

__all__ = ["ChangeSignal", "DaemonHandlers"]

_JOIN_POLL_SECONDS = 0.02
_MAX_JOIN_SECONDS = 120.0


class ChangeSignal(FeedSubscription):
    """Wakes all green threads that wait for a configuration change."""

    def __init__(self):
        self._event = GreenEvent()

    def send(self) -> None:
        """Wake all waiting green threads."""
        event, self._event = self._event, GreenEvent()
        event.send(None)

    def wait(self, seconds: float) -> None:
        """Wait for a change, at most the given seconds."""
        with eventlet.Timeout(seconds, False):
            self._event.wait()


class DaemonHandlers(PeerHandlers):
    """Answers calls of peers from the daemon's components.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    account_writer : AccountWriter
        Draws tokens for peers.
    signal : ChangeSignal
        Signals configuration changes.
    on_leaving : callable
        Called when a peer reports leaving instances that this one did not know of.
    """

    def __init__(
        self,
        context: ServerContext,
        account_writer: AccountWriter,
        signal: ChangeSignal,
        on_leaving: Callable[[], None],
    ):
        self.context = context
        self.account_writer = account_writer
        self.signal = signal
        self.on_leaving = on_leaving
        self.config = context.config

    def receive_heartbeat(self, sender: Member, leaving_instances: Sequence[str]) -> PeerReport:
        """Record a peer's heartbeat and return this daemon's report on itself."""
        self.record_report(sender, leaving_instances)
        known = self.context.membership_table.leaving_instances(steady())
        return PeerReport(self.context.own_member(), sorted(known))

    def record_report(self, member: Member, leaving_instances: Sequence[str]) -> None:
        """Record the report in a heartbeat or in the reply to one."""
        now = steady()
        if self.context.membership_table.record_heartbeat(member, now):
            log_event(Event.MEMBER_JOINED, member=member.incarnation)
        if self.context.membership_table.add_leaving_instances(leaving_instances, now):
            self.on_leaving()

    def draw(self, order: DrawOrder) -> Result[DrawResult, PlatformFailure]:
        """Draw tokens from the platform for a peer."""
        result = self.account_writer.draw(order)
        label = result.failure().code if isinstance(result, Failure) else "ok"
        self.context.metrics.draws.labels("for_peer", label).inc()
        return result

    def give_tokens(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int
    ) -> int:
        """Give spare tokens to a peer.

        Returns
        -------
        int
            The total that the peer has been given, earlier transfers included.
        """
        return self.context.budget_manager.give(budget, receiver, already_received, need, wish)

    def consult(self, query: ConsultQuery) -> ConsultReply:
        """Decide whether a peer may run a request."""
        if not self.context.request_memory.is_responsible_for(query.home, steady()):
            return ConsultReply(ConsultDecision.NOT_HEIR)
        return self.context.request_memory.consult(
            query.identity,
            query.digest,
            query.asker,
            query.lost_owner,
            query.repeatable,
            steady(),
        )

    def take_over_memory(self, home: str, entries: list[HandoverEntry]) -> None:
        """Take over request memory of a home that is in a planned stop."""
        self.context.request_memory.take_over(home, entries, steady())

    def join_answer(self, identity: str) -> Iterator[AnswerPart]:
        """Yield the answer of a request that runs or ran at this instance.

        Raises
        ------
        PeerUnavailable
            If there is no answer, or none begins in time.
        """
        end = steady() + _MAX_JOIN_SECONDS
        while steady() < end:
            entry = self.context.request_memory.find(identity)
            if entry is None or entry.state in (RunState.NOT_RUN, RunState.CEDED):
                raise PeerUnavailable("this instance has no answer of the request")
            if entry.answer is not None and entry.answer.status:
                yield from _refusals_as_peer_errors(entry.answer.read())
                return
            if entry.state is RunState.UNKNOWN:
                raise PeerUnavailable("this instance has no answer of the request")
            eventlet.sleep(_JOIN_POLL_SECONDS)
        raise PeerUnavailable("the answer did not begin in time")

    def subscribe(self) -> FeedSubscription:
        """Return a subscription to changes of this daemon's configuration."""
        return self.signal


def _refusals_as_peer_errors(parts: Iterator[AnswerPart]) -> Iterator[AnswerPart]:
    """Turn a refusal while reading into a `PeerUnavailable`, which the peer handles."""
    try:
        yield from parts
    except Refusal as refusal:
        raise PeerUnavailable(refusal.message) from refusal
