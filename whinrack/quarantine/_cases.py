"""Evidence against requests during whose runs targets ended."""

import msgspec

__all__ = ["Case", "TargetEnd", "merge_evidence"]

# Maximum number of ends in a case. A quarantined request is not sent to targets, so that few ends
# follow.
_MAX_ENDS = 16


class TargetEnd(msgspec.Struct, frozen=True, array_like=True, order=True):
    """End of one run of a target; the same for all instances that observed it.

    Attributes
    ----------
    target : str
        Name of the target.
    started : int
        Unix time at which that run started, milliseconds; 0 if unknown.
    """

    target: str
    started: int = 0


class Case(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Evidence against one possible cause of ends: equal requests, or a part of prompts.

    Merging the evidence of instances is commutative, associative and idempotent.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request, or name of the part.
    workspace, route : str
        Workspace of the request and the route on which it came. A part has no workspace, and the
        pool of its targets stands in place of a route.
    epoch : int
        Incremented whenever the request is cleared; evidence of earlier epochs is void.
    ends : tuple of TargetEnd
        Targets that ended while they ran the request, in order.
    ended_at : float
        Unix time of the last end, seconds.
    trials : int
        Trial runs that were admitted while the request was in quarantine.
    tried_at : float
        Unix time of the last trial run, seconds.
    """

    fingerprint: str
    workspace: str = ""
    route: str = ""
    epoch: int = 0
    ends: tuple[TargetEnd, ...] = ()
    ended_at: float = 0.0
    trials: int = 0
    tried_at: float = 0.0

    def target_names(self) -> tuple[str, ...]:
        """Return the targets that ended, as `name@started`."""
        return tuple(f"{end.target}@{end.started}" for end in self.ends)

    def with_end(self, end: TargetEnd, at: float) -> "Case":
        """Return the case with an end added; unchanged if it has this end already."""
        if end in self.ends:
            return self
        ends = _sorted_and_limited({*self.ends, end})
        return msgspec.structs.replace(self, ends=ends, ended_at=max(at, self.ended_at))

    def cleared(self) -> "Case":
        """Return the case without evidence, in the next epoch."""
        empty = Case(fingerprint=self.fingerprint, workspace=self.workspace, route=self.route)
        return msgspec.structs.replace(empty, epoch=self.epoch + 1, ended_at=self.ended_at)

    def with_trial(self, at: float) -> "Case":
        """Return the case with one more trial run."""
        return msgspec.structs.replace(self, trials=self.trials + 1, tried_at=at)


def merge_evidence(first: Case, second: Case) -> Case:
    """Return the merged evidence of two instances against the same request."""
    if first.epoch != second.epoch:
        return max(first, second, key=lambda case: case.epoch)
    return msgspec.structs.replace(
        first,
        workspace=first.workspace or second.workspace,
        route=max(first.route, second.route),
        ends=_sorted_and_limited({*first.ends, *second.ends}),
        ended_at=max(first.ended_at, second.ended_at),
        trials=max(first.trials, second.trials),
        tried_at=max(first.tried_at, second.tried_at),
    )


def _sorted_and_limited(ends: set[TargetEnd]) -> tuple[TargetEnd, ...]:
    return tuple(sorted(ends)[:_MAX_ENDS])
