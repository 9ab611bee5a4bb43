"""Rules shared by stateful tests that no budget is used beyond its limit."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from whinrack.budgets.tests.simulated_fleet import busy_fleet, use_all_tokens


class FaultRules(RuleBasedStateMachine):
    """Faults of links and of the store, and the check of used and reserved tokens."""

    def __init__(self):
        super().__init__()
        self.fleet = busy_fleet(limit=40_000, seconds=6)

    @rule(index=st.integers(0, 2))
    def cut(self, index):
        self.fleet.machines[index].cut_off = True

    @rule(index=st.integers(0, 2))
    def heal(self, index):
        self.fleet.machines[index].cut_off = False

    @rule(replies=st.integers(1, 3))
    def lose_store_replies(self, replies):
        self.fleet.store.replies_to_drop = replies

    @rule(writes=st.integers(1, 3))
    def hold_writes(self, writes):
        self.fleet.store.writes_to_delay = writes

    @rule()
    def apply_held_writes(self):
        self.fleet.store.apply_delayed_writes()

    @rule(replies=st.integers(1, 3))
    def lose_peer_replies(self, replies):
        self.fleet.lose_peer_replies = replies

    @invariant()
    def never_beyond_the_limit(self):
        assert self.fleet.max_spent() <= self.fleet.limit

    def teardown(self):
        """Heal everything and use what is left: tokens used before must not be granted again."""
        self.fleet.store.apply_delayed_writes()
        for machine in self.fleet.machines:
            machine.cut_off = False
        use_all_tokens(self.fleet)
        self.never_beyond_the_limit()
