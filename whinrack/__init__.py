"""Whinrack: a router fleet for prepaid token budgets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
