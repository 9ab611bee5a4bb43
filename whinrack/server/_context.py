"""What the endpoints of one daemon share."""

import msgspec

from whinrack.budgets import BudgetManager
from whinrack.engines import TargetClient
from whinrack.feed import ConfigStore
from whinrack.membership import Member, MembershipTable
from whinrack.observability import Metrics
from whinrack.peers import PeerClient
from whinrack.requests import ClaimStore, RequestMemory
from whinrack.server._admission import PoolDirectory
from whinrack.server._answers import AnswerShelf
from whinrack.server._bills import BillKeeper
from whinrack.settings import Settings

__all__ = ["DaemonState", "ServerContext"]


class DaemonState(msgspec.Struct):
    """What changes as the daemon lives.

    Attributes
    ----------
    leaving : bool
        A planned stop has begun.
    closed : bool
        The planned stop is over but for giving things back: nothing is begun any more.
    in_progress : int
        Requests of callers that are not answered yet.
    """

    incarnation: str
    leaving: bool = False
    closed: bool = False
    ready: bool = False
    watching: bool = False
    in_progress: int = 0


class ServerContext(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a daemon."""

    settings: Settings
    state: DaemonState
    config: ConfigStore
    table: MembershipTable
    keeper: BudgetManager
    memory: RequestMemory
    claims: ClaimStore
    bills: BillKeeper
    directory: PoolDirectory
    targets: TargetClient
    peers: PeerClient
    shelf: AnswerShelf
    metrics: Metrics

    def own_member(self) -> Member:
        """Return this daemon's word on itself."""
        settings = self.settings
        return Member(
            incarnation=self.state.incarnation,
            name=settings.instance.name,
            region=settings.instance.region,
            data_hall=settings.instance.data_hall,
            http_address=settings.http.address,
            peer_address=settings.peer.address,
            leaving=self.state.leaving,
            revision=self.config.newest_version,
            requests_in_progress=self.state.in_progress,
            watching=self.state.watching,
        )
