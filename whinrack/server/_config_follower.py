"""Updates of the configuration from the platform or from peers."""

import eventlet
from returns.result import Failure, Success

from whinrack.clock import steady
from whinrack.exceptions import PeerUnavailable
from whinrack.objects import DECLARED_KINDS
from whinrack.observability import Event, log_event
from whinrack.server._context import ServerContext
from whinrack.store import ObjectStore

__all__ = ["ConfigFollower"]

_KINDS = tuple(DECLARED_KINDS)
_RETRY_SECONDS = 0.2
_PLATFORM = "platform"


class ConfigFollower:
    """Follows the platform if this instance is a watcher of its data hall, else a watcher.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    store : ObjectStore
        The platform.
    """

    def __init__(self, context: ServerContext, store: ObjectStore):
        self.context = context
        self.store = store
        self._source = ""
        self._has_snapshot = False

    def load_initial(self) -> None:
        """Load an initial configuration from the platform or from any peer."""
        while not self._load_snapshot():
            self._catch_up_from_peers()
            if self.context.config.newest_version:
                break
            eventlet.sleep(_RETRY_SECONDS)
        self.context.state.is_ready = True

    def run(self) -> None:
        """Follow configuration changes forever."""
        while True:
            if self._should_watch():
                self.context.state.is_watching = True
                followed = self._watch_platform()
            else:
                self.context.state.is_watching = False
                followed = self._follow_peer()
            if not followed:
                self._catch_up_from_peers()
                eventlet.sleep(_RETRY_SECONDS)

    def catch_up(self, address: str) -> bool:
        """Apply the newer configuration changes of a peer once.

        Returns
        -------
        bool
            False if no update was received.
        """
        config = self.context.config
        try:
            for revision, objects in self.context.peer_client.follow_config(
                address, config.revision
            ):
                self._count_changes("peer", config.apply_batch(revision, objects))
                return True
        except PeerUnavailable:
            return False
        return False

    def _should_watch(self) -> bool:
        own_member = self.context.own_member()
        return own_member.incarnation in self._watchers()

    def _watchers(self) -> list[str]:
        count = self.context.settings.membership.watchers_per_hall
        return self.context.membership_table.watcher_incarnations(
            self.context.own_member(), count, steady()
        )

    def _watch_platform(self) -> bool:
        if not self._has_snapshot and not self._load_snapshot():
            return False
        self._set_source(_PLATFORM)
        config = self.context.config
        wait = self.context.settings.platform.watch_wait
        result = self.store.watch(_KINDS, config.revision, wait)
        if isinstance(result, Failure):
            self._has_snapshot = False
            return False
        batch = result.unwrap()
        if batch.gap:
            return self._load_snapshot()
        self._count_changes(_PLATFORM, config.apply_batch(batch.revision, batch.objects))
        return True

    def _load_snapshot(self) -> bool:
        result = self.store.list(_KINDS)
        if not isinstance(result, Success):
            return False
        snapshot = result.unwrap()
        taken = self.context.config.apply_snapshot(snapshot.revision, snapshot.objects)
        self._count_changes(_PLATFORM, taken)
        self._has_snapshot = True
        return True

    def _follow_peer(self) -> bool:
        """Follow a watcher until its feed fails or it is no longer a watcher.

        Returns
        -------
        bool
            False if the feed of every watcher failed.
        """
        config = self.context.config
        for watcher in self._watchers():
            member = self.context.membership_table.find(watcher)
            if member is None:
                continue
            self._set_source(watcher)
            try:
                for revision, objects in self.context.peer_client.follow_config(
                    member.peer_address, config.revision
                ):
                    self._count_changes("peer", config.apply_batch(revision, objects))
                    if watcher not in self._watchers():
                        return True
            except PeerUnavailable:
                continue
        return False

    def _catch_up_from_peers(self) -> None:
        seeds = self.context.settings.peer.seeds.split()
        for address in self.context.membership_table.heartbeat_addresses(seeds):
            if self.catch_up(address):
                return

    def _set_source(self, source: str) -> None:
        if source != self._source:
            self._source = source
            log_event(Event.FEED_CHANGED, source=source)

    def _count_changes(self, source: str, taken: int) -> None:
        if taken:
            self.context.metrics.config_objects.labels(source).inc(taken)
