"""Check of a configuration before it is sent: findings, and differences from another version."""

from whinrack.configuration_check._declared import (
    DeclarationReader,
    DeclaredConfiguration,
    decode_json,
)
from whinrack.configuration_check._differences import Difference, DifferenceKind
from whinrack.configuration_check._findings import Finding, FindingCode, Severity
from whinrack.configuration_check._report import CheckReport, check_configuration, check_files

__all__ = [
    "CheckReport",
    "DeclarationReader",
    "DeclaredConfiguration",
    "Difference",
    "DifferenceKind",
    "Finding",
    "FindingCode",
    "Severity",
    "check_configuration",
    "check_files",
    "decode_json",
]
