"""Which requests are to blame for the ends of targets. Decisions only, no I/O.

All requests that a target runs when it ends are cut, and only one of them is to blame. As few
requests as can explain the ends are blamed: the one that was there at most ends, then the one at
most of those that are left. Neighbours of a blamed request, whose ends it explains, go free.
"""

from collections.abc import Iterable

from whinrack.quarantine._cases import Case, TargetEnd

__all__ = ["BLAME_THRESHOLD", "find_culprits"]

# Ends under one request from which on it is kept out: the users' bound counts from the third.
BLAME_THRESHOLD = 3


def find_culprits(cases: Iterable[Case]) -> frozenset[str]:
    """Return the fingerprints of the requests that are to blame.

    Those that were at the same number of ends are equally suspicious and blamed together: a
    wrong blame ends with the next run that is let through, a target's end harms all on it.
    """
    unexplained = {case.fingerprint: set(case.ends) for case in cases}
    found: set[str] = set()
    while unexplained:
        max_ends = max(len(ends) for ends in unexplained.values())
        if max_ends < BLAME_THRESHOLD:
            break
        culprits = {name for name, ends in unexplained.items() if len(ends) == max_ends}
        explained: set[TargetEnd] = set().union(*(unexplained[name] for name in culprits))
        found |= culprits
        unexplained = {
            name: ends - explained for name, ends in unexplained.items() if name not in culprits
        }
    return frozenset(found)
