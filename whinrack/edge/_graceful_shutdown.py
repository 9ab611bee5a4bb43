"""Graceful shutdown: callers move away, requests finish, tokens are returned."""

import eventlet

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch import Dispatcher
from whinrack.edge._membership import Membership
from whinrack.edge._options import EdgeOptions
from whinrack.edge._tokens import TokenExchange
from whinrack.http1 import HttpServer
from whinrack.observability import Event, log_event

__all__ = ["GracefulShutdown"]

_POLL_SECONDS = 0.05
_KILL_MARGIN_SECONDS = 0.4
# Fraction of the stop time for finishing requests; the rest is for the final draw orders.
_REQUEST_SHARE_OF_STOP = 0.84
# Callers may cache a discovery answer for this many times the stated duration.
_CALLER_CACHE_FACTOR = 3
# Longest time to wait for cached discovery answers to expire.
_MAX_CALLER_CACHE_SECONDS = 3.0
_MIN_DRAIN_SECONDS = 0.1


class GracefulShutdown:
    """Shuts down one instance.

    Parameters
    ----------
    membership : Membership
    server : HttpServer
    dispatcher : Dispatcher
    grant_manager : GrantManager
    tokens : TokenExchange

    Attributes
    ----------
    has_begun : bool
    has_finished_requests : bool
        Whether no requests are open any more, or their time is over.
    """

    def __init__(
        self,
        membership: Membership,
        server: HttpServer,
        dispatcher: Dispatcher,
        grant_manager: GrantManager,
        tokens: TokenExchange,
    ):
        self.membership = membership
        self.server = server
        self.dispatcher = dispatcher
        self.grant_manager = grant_manager
        self.tokens = tokens
        self.has_begun = False
        self.has_finished_requests = False

    def run(self, options: EdgeOptions) -> None:
        """Finish the accepted requests and return the tokens; blocks until this is done."""
        self.has_begun = True
        started = steady()
        log_event(Event.ROUTER_STOPPING, in_progress=self.dispatcher.requests_in_progress)
        self.membership.is_stopping = True
        self.membership.send_heartbeats()
        self.server.is_closing = True
        # New requests are served until cached discovery answers have expired.
        caller_cache_seconds = min(
            _MAX_CALLER_CACHE_SECONDS, options.answer_seconds * _CALLER_CACHE_FACTOR
        )
        eventlet.spawn_n(self.grant_manager.drain, False)
        _sleep_until(started + caller_cache_seconds)
        self._finish_requests(started + options.stop_seconds * _REQUEST_SHARE_OF_STOP)
        self.server.stop_listening()
        self.tokens.resend_given_totals()
        kill_at = started + options.stop_seconds - _KILL_MARGIN_SECONDS
        with eventlet.Timeout(max(_MIN_DRAIN_SECONDS, kill_at - steady()), False):
            self.grant_manager.drain(True)

    def _finish_requests(self, end: float) -> None:
        self.dispatcher.is_refusing_requests = True
        self.server.close_idle()
        while self.dispatcher.requests_in_progress and steady() < end:
            eventlet.sleep(_POLL_SECONDS)
        self.has_finished_requests = True


def _sleep_until(moment: float) -> None:
    eventlet.sleep(max(0.0, moment - steady()))
