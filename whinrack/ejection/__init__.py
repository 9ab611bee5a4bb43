"""Ejection of targets that fail."""

from whinrack.ejection._policies import EjectionPolicy, LocalEjection, MajorityEjection

__all__ = ["EjectionPolicy", "LocalEjection", "MajorityEjection"]
