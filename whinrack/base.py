"""Small pieces that several subpackages share."""

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

# A target that names a longer time by mistake must not stay out of use for good.
MAX_BACKOFF_SECONDS = 3600.0

_NONCE_BYTES = 5


class Outcome(StrEnum):
    """What a caller is told about whether its request was run."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


def incarnation_name(instance: str, nonce: str) -> str:
    """Return the name of one run of an instance.

    Examples
    --------
    >>> incarnation_name("router-1", "ab12")
    'router-1.ab12'
    """
    return f"{instance}.{nonce}"


def new_incarnation(instance: str) -> str:
    """Return an incarnation name that no earlier run of `instance` had."""
    return incarnation_name(instance, secrets.token_hex(_NONCE_BYTES))


def instance_name(incarnation: str) -> str:
    """Return the instance that an incarnation is a run of.

    Examples
    --------
    >>> instance_of("router-1.ab12")
    'router-1'
    """
    return incarnation.rpartition(".")[0]


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Order nodes by their rendezvous weight for a key, heaviest first.

    Parameters
    ----------
    key : str
        What is to be placed.
    nodes : iterable of str
        The candidates. Adding or removing one moves only its own keys.

    References
    ----------
    Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
    """

    def weight(node: str) -> tuple[int, str]:
        return (xxhash.xxh64_intdigest(f"{key}\x00{node}".encode()), node)

    return sorted(nodes, key=weight, reverse=True)
