"""A planned stop: callers turn elsewhere, what was taken is finished, tokens go back."""

import eventlet

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch import Dispatcher
from whinrack.edge._membership import Membership
from whinrack.edge._options import EdgeOptions
from whinrack.edge._tokens import TokenExchange
from whinrack.http1 import HttpServer
from whinrack.observability import Event, log_event

__all__ = ["PlannedStop"]

_POLL_SECONDS = 0.05
_KILL_MARGIN_SECONDS = 0.4
# Part of a stop's time in which requests are finished; the rest is for the last orders.
_SERVING_PART_OF_STOP = 0.84
# Callers may keep the answer where to go this many times as long as they were told.
_STALE_ANSWERS = 3
# Most seconds that callers who keep it are waited for.
_LONGEST_KNOWN_SECONDS = 3.0
_LEAST_DRAIN_SECONDS = 0.1


class PlannedStop:
    """Stops one instance.

    Parameters
    ----------
    membership : Membership
    front : HttpServer
    dispatcher : Dispatcher
    keeper : GrantKeeper
    tokens : TokenExchange

    Attributes
    ----------
    begun, served : bool
        The stop has begun; no more requests are open, or their time is over.
    """

    def __init__(
        self,
        membership: Membership,
        front: HttpServer,
        dispatcher: Dispatcher,
        keeper: GrantManager,
        tokens: TokenExchange,
    ):
        self.membership = membership
        self.front = front
        self.dispatcher = dispatcher
        self.keeper = keeper
        self.tokens = tokens
        self.begun = False
        self.served = False

    def run(self, options: EdgeOptions) -> None:
        """Finish what was taken and hand the tokens back; returns when all is done."""
        self.begun = True
        signalled = steady()
        log_event(Event.ROUTER_STOPPING, in_progress=self.dispatcher.requests_in_progress)
        self.membership.stopping = True
        self.membership.beat()
        self.front.closing = True
        # Until callers have asked anew where to go, new requests are served as before.
        known = min(_LONGEST_KNOWN_SECONDS, options.answer_seconds * _STALE_ANSWERS)
        eventlet.spawn_n(self.keeper.drain, False)
        _sleep_until(signalled + known)
        self._finish_requests(signalled + options.stop_seconds * _SERVING_PART_OF_STOP)
        self.front.stop_listening()
        self.tokens.tell_given()
        kill_at = signalled + options.stop_seconds - _KILL_MARGIN_SECONDS
        with eventlet.Timeout(max(_LEAST_DRAIN_SECONDS, kill_at - steady()), False):
            self.keeper.drain(True)

    def _finish_requests(self, end: float) -> None:
        self.dispatcher.is_refusing_requests = True
        self.front.close_idle()
        while self.dispatcher.requests_in_progress and steady() < end:
            eventlet.sleep(_POLL_SECONDS)
        self.served = True


def _sleep_until(moment: float) -> None:
    eventlet.sleep(max(0.0, moment - steady()))
