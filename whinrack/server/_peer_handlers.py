"""This daemon's answers to its peers."""

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
    """Wakes everybody who waits for a configuration change."""

    def __init__(self):
        self._event = GreenEvent()

    def send(self) -> None:
        """Wake all waiters."""
        event, self._event = self._event, GreenEvent()
        event.send(None)

    def wait(self, seconds: float) -> None:
        """Return after a change, or after some seconds."""
        with eventlet.Timeout(seconds, False):
            self._event.wait()


class DaemonHandlers(PeerHandlers):
    """Answers peers from the daemon's parts.

    Parameters
    ----------
    context : ServerContext
        The daemon's parts.
    account_writer : AccountDrawer
        Draws for peers.
    signal : ChangeSignal
        Tells of configuration changes.
    on_leaving : callable
        Called when a peer knew of leaving instances before this one.
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

    def receive_heartbeat(self, sender: Member, leaving: Sequence[str]) -> PeerReport:
        """Take in a peer's word and answer with one's own."""
        self.record_report(sender, leaving)
        known = self.context.table.leaving_instances(steady())
        return PeerReport(self.context.own_member(), sorted(known))

    def record_report(self, member: Member, leaving: Sequence[str]) -> None:
        """Learn from a heartbeat or its reply."""
        now = steady()
        if self.context.table.record_heartbeat(member, now):
            log_event(Event.MEMBER_JOINED, member=member.incarnation)
        if self.context.table.add_leaving_instances(leaving, now):
            self.on_leaving()

    def draw(self, order: DrawOrder) -> Result[DrawResult, PlatformFailure]:
        """Draw from the platform for a peer."""
        result = self.account_writer.draw(order)
        label = result.failure().code if isinstance(result, Failure) else "ok"
        self.context.metrics.draws.labels("for_peer", label).inc()
        return result

    def give_tokens(
        self, budget: str, receiver: str, already_received: int, need: int, wish: int
    ) -> int:
        """Hand tokens to a peer; returns the cumulative total."""
        return self.context.budget_manager.give(budget, receiver, already_received, need, wish)

    def consult(self, query: ConsultQuery) -> ConsultReply:
        """Tell whether a peer may run a request."""
        if not self.context.memory.is_responsible_for(query.home, steady()):
            return ConsultReply(ConsultDecision.NOT_HEIR)
        return self.context.memory.consult(
            query.identity,
            query.digest,
            query.asker,
            query.lost_owner,
            query.repeatable,
            steady(),
        )

    def take_over_memory(self, home: str, entries: list[HandoverEntry]) -> None:
        """Take over the memory of a home that stops as planned."""
        self.context.memory.take_over(home, entries, steady())

    def join_answer(self, identity: str) -> Iterator[AnswerPart]:
        """Yield the answer of a request that runs or ran here."""
        end = steady() + _MAX_JOIN_SECONDS
        while steady() < end:
            entry = self.context.memory.find(identity)
            if entry is None or entry.state in (RunState.NOT_RUN, RunState.CEDED):
                raise PeerUnavailable("no such answer")
            if entry.answer is not None and entry.answer.status:
                yield from _refusals_as_peer_errors(entry.answer.read())
                return
            if entry.state is RunState.UNKNOWN:
                raise PeerUnavailable("no such answer")
            eventlet.sleep(_JOIN_POLL_SECONDS)
        raise PeerUnavailable("no answer yet")

    def subscribe(self) -> FeedSubscription:
        """Follow the configuration in force here."""
        return self.signal


def _refusals_as_peer_errors(parts: Iterator[AnswerPart]) -> Iterator[AnswerPart]:
    """Turn a refusal while reading into what the calling side understands."""
    try:
        yield from parts
    except Refusal as refusal:
        raise PeerUnavailable(refusal.message) from refusal
