"""Requests under which targets end: what they are called."""

from whinrack.quarantine._fingerprint import fingerprint

__all__ = ["fingerprint"]
