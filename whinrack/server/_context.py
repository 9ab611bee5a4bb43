"""State and components that the endpoints of one daemon share."""

import msgspec

from whinrack.budgets import BudgetManager
from whinrack.engines import TargetClient
from whinrack.feed import ConfigStore
from whinrack.membership import Member, MembershipTable
from whinrack.observability import Metrics
from whinrack.peers import PeerClient
from whinrack.requests import ClaimStore, RequestMemory
from whinrack.server._admission import PoolDirectory
from whinrack.server._answers import AnswerCache
from whinrack.server._bills import BillKeeper
from whinrack.settings import Settings

__all__ = ["DaemonState", "ServerContext"]


class DaemonState(msgspec.Struct):
    """Mutable state of a daemon.

    Attributes
    ----------
    is_leaving : bool
        A planned stop has begun.
    is_closed : bool
        New requests are refused; a planned stop only has to flush bills and return tokens.
    in_progress : int
        Requests of callers whose answers have not ended.
    """

    incarnation: str
    is_leaving: bool = False
    is_closed: bool = False
    is_ready: bool = False
    is_watching: bool = False
    in_progress: int = 0


class ServerContext(msgspec.Struct, frozen=True, kw_only=True):
    """The components of a daemon."""

    settings: Settings
    state: DaemonState
    config: ConfigStore
    membership_table: MembershipTable
    budget_manager: BudgetManager
    request_memory: RequestMemory
    claim_store: ClaimStore
    bill_keeper: BillKeeper
    pool_directory: PoolDirectory
    target_client: TargetClient
    peer_client: PeerClient
    answer_cache: AnswerCache
    metrics: Metrics

    def own_member(self) -> Member:
        """Return this daemon's member record."""
        settings = self.settings
        return Member(
            incarnation=self.state.incarnation,
            name=settings.instance.name,
            region=settings.instance.region,
            data_hall=settings.instance.data_hall,
            http_address=settings.http.address,
            peer_address=settings.peer.address,
            leaving=self.state.is_leaving,
            revision=self.config.newest_version,
            requests_in_progress=self.state.in_progress,
            watching=self.state.is_watching,
        )
