"""The whole check of a configuration."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from whinrack.configuration_check._declared import DeclarationReader, DeclaredConfiguration
from whinrack.configuration_check._differences import Difference, find_differences
from whinrack.configuration_check._findings import Finding, FindingCode, Severity
from whinrack.configuration_check._pools import check_limits, check_pools
from whinrack.configuration_check._routes import check_routes
from whinrack.configuration_check._workspaces import check_lowered_limits, check_workspaces
from whinrack.exceptions import InvalidObject

__all__ = ["CheckReport", "check_configuration", "check_files"]


class CheckReport(msgspec.Struct, frozen=True):
    """Result of a check.

    Attributes
    ----------
    findings : tuple of Finding
        Errors first.
    differences : tuple of Difference or None
        None if there was nothing to compare with.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)


def check_files(
    reader: DeclarationReader, name: str, data: bytes, in_force: tuple[str, bytes] | None = None
) -> CheckReport:
    """Decode and check a configuration.

    Parameters
    ----------
    reader : DeclarationReader
    name, data : str and bytes
        File name for findings, and its content.
    in_force : tuple of str and bytes, optional
        Name and content of the file with the version in force.
    """
    findings: list[Finding] = []
    declared = _read(reader, name, data, findings)
    current = None if in_force is None else _read(reader, *in_force, findings)
    if declared is None:
        return CheckReport(tuple(findings))
    report = check_configuration(declared, current)
    return msgspec.structs.replace(report, findings=(*findings, *report.findings))


def check_configuration(
    declared: DeclaredConfiguration, in_force: DeclaredConfiguration | None = None
) -> CheckReport:
    """Check a configuration, and compare it with the version in force if that is given."""
    findings = [
        *_check_names("pool", [pool.name for pool in declared.pools]),
        *_check_names("workspace", [workspace.name for workspace in declared.workspaces]),
        *check_routes(declared),
        *check_pools(declared),
        *check_limits(declared.limits),
        *check_workspaces(declared),
        *(
            Finding.make(FindingCode.IGNORED_FIELD, "configuration", text)
            for text in declared.ignored_fields
        ),
    ]
    # An instance without a configuration has version 0.
    version_in_force = 0 if in_force is None else in_force.version
    if declared.version <= version_in_force:
        message = f"{declared.version} is not above {version_in_force}: it would be ignored"
        findings.append(Finding.make(FindingCode.VERSION_NOT_HIGHER, "version", message))
    differences = None
    if in_force is not None:
        findings += check_lowered_limits(declared, in_force)
        differences = find_differences(declared, in_force)
    findings.sort(key=lambda finding: finding.severity is not Severity.ERROR)
    return CheckReport(tuple(findings), differences)


def _check_names(kind: str, names: list[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            message = f"declared {count} times; only the last one counts"
            yield Finding.make(FindingCode.DUPLICATE_NAME, f"{kind} {name}", message)


def _read(
    reader: DeclarationReader, name: str, data: bytes, findings: list[Finding]
) -> DeclaredConfiguration | None:
    try:
        return reader.read(data)
    except InvalidObject as error:
        findings.append(Finding.make(FindingCode.UNDECODABLE, name, error.message))
        return None
