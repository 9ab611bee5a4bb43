"""When a target that fails from here is set aside."""

from whinrack.ejection._policies import EjectAfterVote, EjectAlone, EjectionPolicy

__all__ = ["EjectAfterVote", "EjectAlone", "EjectionPolicy"]
