"""Attribution of the ends of targets to requests; it does no I/O.

The end of a target interrupts all requests that it runs, of which only one is the cause: the
request as a whole, or a part of its prompt that other requests share. Each of these names has a
case. The smallest number of names that explains the ends is blamed, by a greedy set cover: first
the name that was present at the most ends, then the one at the most of the unexplained ends, and so
on. Names whose ends are explained by a blamed one are not blamed.
"""

from collections.abc import Collection, Iterable, Mapping

from whinrack.quarantine._cases import Case, TargetEnd

__all__ = ["BLAME_THRESHOLD", "find_culprits", "find_outside_rivals", "find_rivals"]

# Ends of targets after which a request is quarantined; the users' requirement counts from the
# third end.
BLAME_THRESHOLD = 3


def find_culprits(cases: Iterable[Case]) -> frozenset[str]:
    """Return the fingerprints of the requests that are to blame.

    If several requests have the most unexplained ends, all of them are blamed: a wrongly blamed
    request is cleared by its next trial run, while the end of a target interrupts all requests on
    it.
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


def find_rivals(cases: Iterable[Case], culprits: Collection[str]) -> dict[str, frozenset[str]]:
    """Return the rivals of each culprit that may have been blamed wrongly.

    The rivals of a request are the other culprits that were present at some of its ends. If they
    explain so many of its ends that fewer than `BLAME_THRESHOLD` are left, it is undecided which
    of them is the cause. Culprits for which this is decided are not in the result.

    Parameters
    ----------
    cases : iterable of Case
    culprits : collection of str
        Fingerprints of the requests that are to blame, from `find_culprits`.
    """
    ends_of = {case.fingerprint: set(case.ends) for case in cases if case.fingerprint in culprits}
    rivals_of: dict[str, frozenset[str]] = {}
    for fingerprint, ends in ends_of.items():
        rivals = {name for name, other in ends_of.items() if name != fingerprint and ends & other}
        own_ends = ends.difference(*(ends_of[name] for name in rivals))
        if rivals and len(own_ends) < BLAME_THRESHOLD:
            rivals_of[fingerprint] = frozenset(rivals)
    return rivals_of


def find_outside_rivals(
    blamed: Collection[Case], rivals_of: Mapping[str, Collection[Case]]
) -> list[Case]:
    """Return the rivals of a request's blamed names that are not names of the request itself.

    Runs of the request cannot tell its own names apart: all of them are present at its ends.

    Parameters
    ----------
    blamed : collection of Case
        Cases of the blamed names of one request.
    rivals_of : mapping of str to collection of Case
        Rivals of each of these names, from `find_rivals`.

    Returns
    -------
    list of Case
        Empty if it is decided that the request is to blame.
    """
    own_names = {case.fingerprint for case in blamed}
    found: dict[str, Case] = {}
    for case in blamed:
        outside = [
            rival for rival in rivals_of[case.fingerprint] if rival.fingerprint not in own_names
        ]
        if len(set(case.ends).difference(*(rival.ends for rival in outside))) >= BLAME_THRESHOLD:
            return []
        found |= {rival.fingerprint: rival for rival in outside}
    return list(found.values())
