"""Membership table, from the platform's lagging instance list and from heartbeats."""

from collections.abc import Iterable

import msgspec

from whinrack.base import rendezvous_order
from whinrack.store import InstanceRecord, InstanceState

__all__ = ["ROUTER_ROLE", "TARGET_ROLE", "Member", "MembershipTable"]

ROUTER_ROLE = "router"
TARGET_ROLE = "target"
# Seconds for which an instance counts as leaving after the last report of it.
_LEAVING_MEMORY_SECONDS = 120.0
# Peers that each daemon exchanges heartbeats with in one round, sent and received.
_FULL_MESH_SIZE = 24


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """State of a daemon as reported in its heartbeat."""

    incarnation: str
    name: str
    region: str = ""
    data_hall: str = ""
    http_address: str = ""
    peer_address: str = ""
    leaving: bool = False
    revision: int = 0
    requests_in_progress: int = 0
    watching: bool = False


class MembershipTable:
    """Known peers by name and the times of their last heartbeats; it does no I/O.

    A wrong view costs time but never correctness: tokens are not spent or billed and requests are
    not run on the strength of it.

    Parameters
    ----------
    name : str
        Name of this instance.
    suspect_after : float
        Seconds without a heartbeat after which a peer is no longer live. It increases in
        proportion in fleets of more than `_FULL_MESH_SIZE` peers, which exchange heartbeats in
        turn.
    """

    def __init__(self, name: str, suspect_after: float = 3.5):
        self.name = name
        self.suspect_after = suspect_after
        self._members: dict[str, Member] = {}
        self._heard_at: dict[str, float] = {}
        self._listed_instances: dict[str, InstanceRecord] = {}
        self._leaving_since: dict[str, float] = {}

    def record_heartbeat(self, member: Member, now: float) -> bool:
        """Update a peer from a heartbeat or its reply.

        Returns
        -------
        bool
            True if the peer was not live before.
        """
        if member.name == self.name:
            return False
        was_silent = not self._is_alive(member.name, now)
        self._members[member.name] = member
        self._heard_at[member.name] = now
        return was_silent

    def update_from_list(self, records: Iterable[InstanceRecord], now: float) -> None:
        """Replace the rows of the platform's instance list."""
        self._listed_instances = {record.name: record for record in records}
        for record in self._listed_instances.values():
            if record.state is InstanceState.LEAVING:
                self._leaving_since[record.name] = now

    def add_leaving_instances(self, instances: Iterable[str], now: float) -> list[str]:
        """Add instances that a peer reports as leaving; return those that were not known to be."""
        fresh = [name for name in instances if name not in self._leaving_since]
        for name in fresh:
            self._leaving_since[name] = now
        return fresh

    def leaving_instances(self, now: float) -> set[str]:
        """Return the instances that the list or a peer reports as leaving."""
        for name, at in list(self._leaving_since.items()):
            record = self._listed_instances.get(name)
            is_listed = record is not None and record.state is InstanceState.LEAVING
            if not is_listed and now - at > _LEAVING_MEMORY_SECONDS:
                del self._leaving_since[name]
        return set(self._leaving_since)

    def heartbeat_addresses(self, seeds: Iterable[str] = ()) -> list[str]:
        """Return the peer addresses to send heartbeats to."""
        listed = {
            record.peer_address
            for record in self._listed_instances.values()
            if record.role == ROUTER_ROLE and record.name != self.name
        }
        known = {member.peer_address for member in self._members.values()}
        return sorted({*listed, *known, *seeds} - {""})

    def addresses_heard_since(self, moment: float) -> set[str]:
        """Return the addresses of the peers that were heard after a time of the steady clock."""
        return {
            self._members[name].peer_address for name, at in self._heard_at.items() if at > moment
        }

    def live_members(self, now: float) -> list[Member]:
        """Return the live peers."""
        return [member for name, member in self._members.items() if self._is_alive(name, now)]

    def find(self, incarnation: str) -> Member | None:
        """Return the peer with an incarnation, live or not, or None if there is none."""
        for member in self._members.values():
            if member.incarnation == incarnation:
                return member
        return None

    def remove_silent(self, now: float, after: float) -> list[str]:
        """Remove unlisted peers without a heartbeat for `after` seconds; return their names."""
        silent = [
            name
            for name, at in self._heard_at.items()
            if now - at > after and name not in self._listed_instances
        ]
        for name in silent:
            del self._heard_at[name], self._members[name]
        return silent

    def entry_points(self, own: Member, now: float, busy: int = 1_000_000) -> list[Member]:
        """Return the instances that callers may be sent to, in order of preference.

        Instances of the own data hall come first, then those of the own region, each ordered by
        load. Instances with `busy` or more requests in progress are left out, unless all are that
        busy.
        """
        candidates = [own, *self.live_members(now)]
        serving = [member for member in candidates if not self._is_leaving(member)]

        def order(member: Member) -> tuple:
            return (
                member.region != own.region,
                member.data_hall != own.data_hall,
                member.requests_in_progress,
                member.name,
            )

        idle = [member for member in serving if member.requests_in_progress < busy]
        return sorted(idle or serving, key=order)

    def watcher_incarnations(self, own: Member, count: int, now: float) -> list[str]:
        """Return the incarnations in the own data hall that watch the platform, at most `count`."""
        hall = [member for member in self.live_members(now) if member.data_hall == own.data_hall]
        names = [member.incarnation for member in hall if not member.leaving]
        return rendezvous_order(own.data_hall, [own.incarnation, *names])[:count]

    def drawing_incarnation(self, own: Member, account: str, now: float) -> str:
        """Return the incarnation that draws tokens from an account for the own region."""
        region = [member for member in self.live_members(now) if member.region == own.region]
        names = [member.incarnation for member in region if not member.leaving]
        if not own.leaving:
            names.append(own.incarnation)
        return rendezvous_order(account, names or [own.incarnation])[0]

    def home_incarnation(self, own: Member, identity: str, now: float) -> str:
        """Return the home incarnation of a request without a ticket."""
        names = [member.incarnation for member in self.live_members(now)]
        return rendezvous_order(identity, [own.incarnation, *names])[0]

    def handover_candidates(self, now: float) -> list[str]:
        """Return the incarnations that may take over the request memory of a stopping home."""
        return [member.incarnation for member in self.live_members(now) if not member.leaving]

    def _is_alive(self, name: str, now: float) -> bool:
        heard_at = self._heard_at.get(name)
        timeout = self.suspect_after * max(1.0, len(self._members) / _FULL_MESH_SIZE)
        return heard_at is not None and now - heard_at <= timeout

    def _is_leaving(self, member: Member) -> bool:
        record = self._listed_instances.get(member.name)
        listed = record is not None and record.state is InstanceState.LEAVING
        return member.leaving or listed
