"""Quarantine of requests and parts of prompts that end the targets on which they run."""

from whinrack.quarantine._case_store import CaseStore
from whinrack.quarantine._cases import Case, TargetEnd
from whinrack.quarantine._fingerprint import compute_fingerprint, compute_part_name
from whinrack.quarantine._host import QuarantineHost
from whinrack.quarantine._listing import QuarantinedRequest, describe_case
from whinrack.quarantine._quarantine import Quarantine
from whinrack.quarantine.base import AdmitAll, RequestSignature, RunGuard

__all__ = [
    "AdmitAll",
    "Case",
    "CaseStore",
    "Quarantine",
    "QuarantineHost",
    "QuarantinedRequest",
    "RequestSignature",
    "RunGuard",
    "TargetEnd",
    "compute_fingerprint",
    "compute_part_name",
    "describe_case",
]
