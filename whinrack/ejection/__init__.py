"""When a target that fails from here is set aside."""

from whinrack.ejection._policies import EjectionPolicy, LocalEjection, MajorityEjection

__all__ = ["EjectionPolicy", "LocalEjection", "MajorityEjection"]
