"""What a killed run would leave uncertain: the parts of what its next run has to write off."""

import msgspec

from whinrack.budgets._grant import Grant

__all__ = ["Exposure", "exposure_of"]


class Exposure(msgspec.Struct, frozen=True):
    """Tokens of one budget that would be written off if this run ended now.

    Attributes
    ----------
    open_cover : int
        Tokens that cover open requests, each at its most.
    unreported : int
        Tokens of ended requests that the account does not know as used yet.
    released : int
        Tokens that the schedule allows to be used now and that nobody uses.
    """

    open_cover: int
    unreported: int
    released: int

    @property
    def total(self) -> int:
        """All of them together."""
        return self.open_cover + self.unreported + self.released


def exposure_of(grant: Grant, now: float) -> Exposure:
    """Return the exposure of a grant.

    Parameters
    ----------
    now : float
        Monotonic clock, in seconds.
    """
    ledger = grant.ledger
    return Exposure(
        open_cover=ledger.open_cover,
        unreported=ledger.unreported_use - ledger.open_cover,
        released=max(0, grant.usable(now)),
    )


def exposure_text(exposures: dict[str, Exposure]) -> str:
    """Return the exposures for the log, as `budget:open/unreported/released`, largest first."""
    some = [(name, part) for name, part in exposures.items() if part.total > 0]
    some.sort(key=lambda item: (-item[1].total, item[0]))
    return " ".join(
        f"{name}:{part.open_cover}/{part.unreported}/{part.released}" for name, part in some
    )
