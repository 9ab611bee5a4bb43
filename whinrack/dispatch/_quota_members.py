"""The instances that have quotas of brittle targets, now and a short time ago; pure logic.

Instances learn at different times that one of them joins, ends or loses a pool, so the earlier
members are remembered until all know of the change.
"""

import math
from collections.abc import Collection

from whinrack.base import rendezvous_order
from whinrack.dispatch._target_state import TargetState

__all__ = ["MemberHistory", "QuotaMembers"]

# Time after a change of the members until all instances know of it, in seconds.
_SETTLE_SECONDS = 3.0
# Targets whose orders are remembered.
_MAX_ORDERS = 5000


class QuotaMembers:
    """The instances that have quotas in a pool for some time.

    Attributes
    ----------
    replaced_at : float
        Steady clock time of the next change, infinite before it.
    """

    def __init__(self, names: frozenset[str]):
        self.names = names
        self.replaced_at = math.inf
        self._orders: dict[str, list[str]] = {}

    def quota(self, name: str, state: TargetState) -> int:
        """Return a member's part of the slots; what does not divide goes to the first ones."""
        if name not in self.names:
            return 0
        quota, rest = divmod(state.record.slots, len(self.names))
        return quota + (name in self._order(state)[:rest])

    def holders(self, state: TargetState) -> Collection[str]:
        """Return the members that have a quota at a target."""
        if state.record.slots >= len(self.names):
            return self.names
        return self._order(state)[: state.record.slots]

    def _order(self, state: TargetState) -> list[str]:
        target = state.record.identity
        if target not in self._orders:
            if len(self._orders) >= _MAX_ORDERS:
                self._orders.clear()
            self._orders[target] = rendezvous_order(target, self.names)
        return self._orders[target]


class MemberHistory:
    """The members of one pool now and in the last `_SETTLE_SECONDS`, the latest ones last."""

    def __init__(self):
        self.updated_at = -math.inf
        self.recent: list[QuotaMembers] = []

    def update(self, names: frozenset[str], now: float) -> None:
        """Replace the members, if they have changed, and drop those of long ago."""
        self.updated_at = now
        if not self.recent or self.recent[-1].names != names:
            if self.recent:
                self.recent[-1].replaced_at = now
            self.recent.append(QuotaMembers(names))
        self.recent = [
            members for members in self.recent if now - members.replaced_at < _SETTLE_SECONDS
        ]
