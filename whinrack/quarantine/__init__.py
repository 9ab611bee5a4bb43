"""Requests that end the targets which run them, and how they are kept away from further ones."""

from whinrack.quarantine._archive import CaseArchive
from whinrack.quarantine._cases import Case, TargetEnd
from whinrack.quarantine._fingerprint import fingerprint
from whinrack.quarantine._listing import QuarantinedRequest, listed
from whinrack.quarantine._quarantine import Quarantine, QuarantineHost
from whinrack.quarantine.base import AdmitAll, RequestName, RunGuard

__all__ = [
    "AdmitAll",
    "Case",
    "CaseArchive",
    "Quarantine",
    "QuarantineHost",
    "QuarantinedRequest",
    "RequestName",
    "RunGuard",
    "TargetEnd",
    "fingerprint",
    "listed",
]
