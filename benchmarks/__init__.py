"""Benchmarks of budgets, ejection, routers and fleets; ``make bench`` runs them all."""
