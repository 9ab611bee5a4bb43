"""Membership of the fleet: live and leaving instances."""

from whinrack.membership._members import ROUTER_ROLE, TARGET_ROLE, Member, MembershipTable

__all__ = ["ROUTER_ROLE", "TARGET_ROLE", "Member", "MembershipTable"]
