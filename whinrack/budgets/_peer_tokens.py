"""Requests for tokens that peers supply, can spare, or draw from the account."""

from collections.abc import Callable

from whinrack.budgets._budget_manager import SpareTokenSource
from whinrack.budgets._grant import Grant, GrantOptions

__all__ = ["PeerTokenClient"]


class PeerTokenClient:
    """Asks peers for tokens and records what they give.

    Parameters
    ----------
    spares : SpareTokenSource
    options : GrantOptions
    clock : callable
        Reads the monotonic clock, in seconds.
    """

    def __init__(self, spares: SpareTokenSource, options: GrantOptions, clock: Callable[[], float]):
        self.spares = spares
        self.options = options
        self.clock = clock

    def request_from_supplier(self, grant: Grant, tokens: int) -> None:
        """Ask the peer that draws this budget ahead for the need and a little more."""
        wish = self._demand_tokens(grant, self.options.supply_seconds) + grant.waiting_tokens
        budget, received = grant.ledger.budget, dict(grant.ledger.received)
        need = self._missing_tokens(grant, tokens)
        for spare in self.spares.request_from_supplier(budget, need, wish, received):
            grant.ledger.receive(spare.giver, spare.total)
            grant.unreported_use_by_peer[spare.giver] = spare.unreported_use

    def request_from_peers(self, grant: Grant, tokens: int) -> None:
        """Ask all peers for tokens that they hold and may use."""
        all_replied = False
        for ask_for_all in (False, True):
            need = self._missing_tokens(grant, tokens)
            if need <= 0:
                return
            all_replied = self._request_round(grant, need, ask_for_all)
        if all_replied and self._missing_tokens(grant, tokens) > 0:
            grant.record_shortage(tokens, self.clock())

    def request_peer_draw(self, grant: Grant, tokens: int) -> None:
        """Ask a peer that can reach the account to draw from it for this instance."""
        ahead = self._demand_tokens(grant, self.options.peer_draw_seconds)
        wish = max(ahead, grant.largest_request) + grant.waiting_tokens
        budget, received = grant.ledger.budget, dict(grant.ledger.received)
        for spare in self.spares.request_peer_draw(
            budget, self._missing_tokens(grant, tokens), wish, received
        ):
            grant.ledger.receive(spare.giver, spare.total)

    def _request_round(self, grant: Grant, need: int, ask_for_all: bool) -> bool:
        """Ask each peer for a part that suffices if most have it, or for all of the need.

        Returns
        -------
        bool
            Whether all peers replied.
        """
        asked = self.spares.peer_count()
        part = need if ask_for_all else -(-2 * need // max(1, asked))
        budget, received = grant.ledger.budget, dict(grant.ledger.received)
        replies = list(self.spares.request_from_peers(budget, min(need, part), 0, received))
        for spare in replies:
            grant.ledger.receive(spare.giver, spare.total)
            grant.unreported_use_by_peer[spare.giver] = spare.unreported_use
        return len(replies) >= asked

    def _missing_tokens(self, grant: Grant, tokens: int) -> int:
        return tokens - max(0, grant.usable(self.clock()))

    def _demand_tokens(self, grant: Grant, seconds: float) -> int:
        return int(grant.demand.rate(self.clock()) * seconds)
