"""What is known of one request under which targets ended."""

import msgspec

__all__ = ["Case", "TargetEnd", "merge_evidence"]

# Ends that a case holds; a request that has some is sent to no target, so there are few more.
_MAX_ENDS = 16


class TargetEnd(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The end of one start of a target, however many instances saw it.

    Attributes
    ----------
    target : str
        Its name.
    started : int
        Unix time of that start, milliseconds; 0 if it isn't known.
    """

    target: str
    started: int = 0


class Case(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The evidence against all requests with one fingerprint.

    Two instances' evidence can be put together in any order and any number of times.

    Attributes
    ----------
    fingerprint, workspace, route : str
        The request, whose it is, and the route that it came on.
    epoch : int
        Grows by one whenever the request is cleared; what was known in an earlier one is void.
    ends : tuple of TargetEnd
        Targets that ended while they had the request, in order.
    ended_at : float
        Unix time of the last of them, seconds.
    trials : int
        Runs that were let through although the request was kept out.
    tried_at : float
        Unix time of the last of them, seconds.
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
        """Return the targets that ended, as name@start."""
        return tuple(f"{end.target}@{end.started}" for end in self.ends)

    def with_end(self, end: TargetEnd, at: float) -> "Case":
        """Return the case with one more end; the same end once more changes nothing."""
        if end in self.ends:
            return self
        ends = _sorted_and_limited({*self.ends, end})
        return msgspec.structs.replace(self, ends=ends, ended_at=max(at, self.ended_at))

    def cleared(self) -> "Case":
        """Return the case without its evidence."""
        empty = Case(fingerprint=self.fingerprint, workspace=self.workspace, route=self.route)
        return msgspec.structs.replace(empty, epoch=self.epoch + 1, ended_at=self.ended_at)

    def with_trial(self, at: float) -> "Case":
        """Return the case after one more trial."""
        return msgspec.structs.replace(self, trials=self.trials + 1, tried_at=at)


def merge_evidence(first: Case, second: Case) -> Case:
    """Return what two instances know together of the same request."""
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
