"""Helpers used by several subpackages: names of instances, rendezvous hashing, outcomes."""

import secrets
from collections.abc import Iterable
from enum import StrEnum

import xxhash

__all__ = [
    "MAX_BACKOFF_SECONDS",
    "Outcome",
    "incarnation_name",
    "instance_name",
    "new_incarnation",
    "rendezvous_order",
]

# Upper bound on the backoff that a target requests, so that a target that states a longer time
# by mistake is used again.
MAX_BACKOFF_SECONDS = 3600.0

_NONCE_BYTES = 5


class Outcome(StrEnum):
    """Whether a request was run, as reported to its caller."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


def incarnation_name(instance: str, nonce: str) -> str:
    """Return the incarnation name of one run (process lifetime) of an instance.

    Examples
    --------
    >>> incarnation_name("router-1", "ab12")
    'router-1.ab12'
    """
    return f"{instance}.{nonce}"


def new_incarnation(instance: str) -> str:
    """Return an incarnation name for a new run of `instance`, unique by its random suffix."""
    return incarnation_name(instance, secrets.token_hex(_NONCE_BYTES))


def instance_name(incarnation: str) -> str:
    """Return the instance name of an incarnation.

    Examples
    --------
    >>> instance_name("router-1.ab12")
    'router-1'
    """
    return incarnation.rpartition(".")[0]


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their rendezvous hash for a key, highest first.

    Parameters
    ----------
    key : str
        Key to assign to nodes.
    nodes : iterable of str
        Candidates. Adding or removing a node moves only the keys assigned to it.

    Returns
    -------
    list of str
        All nodes, the preferred one first.

    References
    ----------
    Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
    """

    def weight(node: str) -> tuple[int, str]:
        return (xxhash.xxh64_intdigest(f"{key}\x00{node}".encode()), node)

    return sorted(nodes, key=weight, reverse=True)
