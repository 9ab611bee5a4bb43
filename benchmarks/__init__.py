"""Measurements of whole mechanisms; ``make bench`` runs them all."""
