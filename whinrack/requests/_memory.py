"""Request memory: which incarnation runs a request, and what it answered.

Each identity has an entry at its *home*, an incarnation. Only the owner in the entry may run the
request. Ownership is transferred when the home cedes an entry to an incarnation that asks for it;
from then on the home asks that owner before it runs the request itself. This module makes
decisions only and does no I/O.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "ConsultDecision",
    "ConsultReply",
    "HandoverEntry",
    "MemoryEntry",
    "RequestMemory",
    "RunState",
]


class RunState(StrEnum):
    """Progress of a request at this incarnation."""

    ASKING = "asking"
    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    CEDED = "ceded"
    UNKNOWN = "unknown"


class ConsultDecision(StrEnum):
    """Answer to an incarnation that asks whether it may run a request."""

    CEDED = "ceded"
    HERE = "here"
    ELSEWHERE = "elsewhere"
    BODY_MISMATCH = "body_mismatch"
    RAN = "ran"
    NOT_HEIR = "not_heir"
    OUTCOME_UNKNOWN = "outcome_unknown"


_ACTIVE = (RunState.ASKING, RunState.RESERVED, RunState.RUNNING)


class MemoryEntry(msgspec.Struct):
    """Remembered state of one request.

    Attributes
    ----------
    digest : bytes
        Digest of the request body, to detect that a key is reused with another one.
    owner : str
        Incarnation that may run the request.
    answer : object or None
        Running or finished answer, kept so that a retry can join it.
    expires : float
        Clock time after which the entry may be removed unless the request is in progress.
    """

    digest: bytes
    owner: str
    state: RunState
    answer: object | None = None
    expires: float = 0.0


class ConsultReply(NamedTuple):
    """Answer to a consultation, with the owner of the request if the decision names one."""

    decision: ConsultDecision
    owner: str = ""


class HandoverEntry(msgspec.Struct, frozen=True):
    """Entry that a stopping home transfers to the incarnation that is asked after it."""

    identity: str
    digest: bytes
    owner: str
    state: RunState


class RequestMemory:
    """Request entries by identity, bounded in number and age.

    Parameters
    ----------
    incarnation : str
        This incarnation.
    retention : float
        Seconds for which entries are kept.
    max_entries : int
        Maximum number of entries; the oldest ones of ended requests are removed first.
    """

    def __init__(self, incarnation: str, retention: float = 600.0, max_entries: int = 20_000):
        self.incarnation = incarnation
        self.retention = retention
        self.max_entries = max_entries
        self._entries: OrderedDict[str, MemoryEntry] = OrderedDict()
        self._taken_over: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, identity: str) -> MemoryEntry | None:
        """Return the entry of a request, None if there is none."""
        return self._entries.get(identity)

    def reserve(self, identity: str, digest: bytes, now: float) -> MemoryEntry:
        """Create an entry owned by this incarnation, which may still have to ask the home."""
        entry = MemoryEntry(
            digest=digest,
            owner=self.incarnation,
            state=RunState.ASKING,
            expires=now + self.retention,
        )
        self._entries[identity] = entry
        self._entries.move_to_end(identity)
        self._evict(now)
        return entry

    def restore(self, identity: str, entry: MemoryEntry | None) -> None:
        """Put back the entry that was replaced by an unsuccessful reservation."""
        if entry is not None:
            self._entries[identity] = entry

    def set_state(
        self, identity: str, state: RunState, now: float, answer: object | None = None
    ) -> None:
        """Record the progress of a request owned by this incarnation."""
        entry = self._entries.get(identity)
        if entry is None or entry.owner != self.incarnation:
            return
        entry.state = state
        entry.expires = now + self.retention
        if answer is not None:
            entry.answer = answer
        if state is RunState.NOT_RUN:
            entry.answer = None

    def handover_entries(self) -> list[HandoverEntry]:
        """Return the entries to transfer to the incarnations asked after a planned stop."""
        return [
            HandoverEntry(identity, entry.digest, entry.owner, entry.state)
            for identity, entry in self._entries.items()
            if entry.state is not RunState.NOT_RUN
        ]

    def take_over(self, home: str, entries: list[HandoverEntry], now: float) -> None:
        """Take over the entries of a home that has stopped as planned."""
        self._taken_over[home] = now + self.retention
        for handover in entries:
            existing = self._entries.get(handover.identity)
            # The stopping home knows more about entries that were ceded to it.
            if existing is None or existing.owner == home:
                self._entries[handover.identity] = MemoryEntry(
                    handover.digest, handover.owner, handover.state, expires=now + self.retention
                )
        self._evict(now)

    def taken_over_homes(self, now: float) -> list[str]:
        """Return the homes whose memory this incarnation has taken over."""
        return [home for home, until in self._taken_over.items() if until > now]

    def is_responsible_for(self, home: str, now: float) -> bool:
        """Return whether this incarnation is a home or has taken over its memory."""
        return home in ("", self.incarnation) or self._taken_over.get(home, 0.0) > now

    def consult(
        self,
        identity: str,
        digest: bytes,
        asker: str,
        lost_owner: str,
        repeatable: bool,
        now: float,
    ) -> ConsultReply:
        """Answer an incarnation that asks whether it may run a request.

        Parameters
        ----------
        lost_owner : str
            Owner that the asker could not reach, "" if there is none.
        repeatable : bool
            Whether the request may run again after its owner was lost.

        Returns
        -------
        ConsultReply
            The decision, and the owner where it matters.
        """
        entry = self._entries.get(identity)
        if entry is None:
            return self._cede(identity, digest, asker, now)
        if entry.digest != digest:
            return ConsultReply(ConsultDecision.BODY_MISMATCH)
        if entry.owner == self.incarnation:
            return self._consult_own(identity, entry, asker, repeatable, now)
        if entry.owner == asker:
            return ConsultReply(ConsultDecision.CEDED, asker)
        if entry.state is RunState.FINISHED:
            return ConsultReply(ConsultDecision.RAN, entry.owner)
        if entry.owner == lost_owner:
            if repeatable:
                return self._cede(identity, digest, asker, now)
            return ConsultReply(ConsultDecision.OUTCOME_UNKNOWN, entry.owner)
        return ConsultReply(ConsultDecision.ELSEWHERE, entry.owner)

    def _consult_own(
        self, identity: str, entry: MemoryEntry, asker: str, repeatable: bool, now: float
    ) -> ConsultReply:
        if entry.state is RunState.NOT_RUN:
            return self._cede(identity, entry.digest, asker, now)
        if entry.state is RunState.ASKING and asker < self.incarnation:
            # Two incarnations ask each other: the one whose name sorts first gets the request.
            return self._cede(identity, entry.digest, asker, now)
        if entry.state is RunState.UNKNOWN:
            if repeatable:
                return self._cede(identity, entry.digest, asker, now)
            return ConsultReply(ConsultDecision.OUTCOME_UNKNOWN, self.incarnation)
        return ConsultReply(ConsultDecision.HERE, self.incarnation)

    def _cede(self, identity: str, digest: bytes, asker: str, now: float) -> ConsultReply:
        self._entries[identity] = MemoryEntry(
            digest=digest, owner=asker, state=RunState.CEDED, expires=now + self.retention
        )
        self._evict(now)
        return ConsultReply(ConsultDecision.CEDED, asker)

    def _evict(self, now: float) -> None:
        """Remove expired entries of ended requests, and the oldest ones beyond the limit."""
        for identity in list(self._entries)[: max(2, len(self._entries) - self.max_entries)]:
            entry = self._entries[identity]
            active = entry.state in _ACTIVE
            too_many = len(self._entries) > self.max_entries
            if not active and (entry.expires < now or too_many):
                del self._entries[identity]
