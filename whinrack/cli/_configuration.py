"""Command that checks a configuration of the edge daemon before it is sent."""

import sys
from typing import BinaryIO

import click

from whinrack.cli._options import OUTPUT_OPTION
from whinrack.cli._output import EXIT_CODES, print_result
from whinrack.configuration_check import CheckReport, DeclarationReader, Severity, check_files
from whinrack.exceptions import InvalidObject

__all__ = ["configuration", "make_check_command"]


def make_check_command(reader: DeclarationReader) -> click.Command:
    """Return the command for files that a reader understands."""

    @click.command("check")
    @click.argument("file", type=click.File("rb"))
    @click.option(
        "--in-force", type=click.File("rb"), help="File with the version to compare with."
    )
    @click.option("--strict", is_flag=True, help="Exit with an error for warnings, too.")
    @OUTPUT_OPTION
    def check(file: BinaryIO, in_force: BinaryIO | None, strict: bool, output: str) -> None:
        """Check a configuration FILE (`-`: standard input) before it is sent.

        Reports errors, entries that can never match, contradicting limits, and differences from
        the version in force. Nothing is sent, and keys are not shown.
        """
        current = None if in_force is None else _read(in_force)
        report = check_files(reader, *_read(file), current)
        print_result(report, output, _format_report(report))
        if report.count(Severity.ERROR) or (strict and report.findings):
            sys.exit(EXIT_CODES[InvalidObject])

    return check


@click.group()
def configuration() -> None:
    """Check configurations of the edge daemon."""


configuration.add_command(make_check_command(DeclarationReader()))


def _read(file: BinaryIO) -> tuple[str, bytes]:
    """Return the name of a file, which streams may not have, and its content."""
    return str(getattr(file, "name", "input")), file.read()


def _format_report(report: CheckReport) -> str:
    lines = [
        f"{finding.severity:7} {finding.code} {finding.where}: {finding.message}"
        for finding in report.findings
    ]
    for difference in report.differences or ():
        lines.append(f"{difference.kind:7} {difference.where}")
        lines += [
            f"    {field.field}: {field.stored!r} -> {field.declared!r}"
            for field in difference.fields
        ]
    errors, warnings = report.count(Severity.ERROR), report.count(Severity.WARNING)
    return "\n".join([*lines, f"{errors} errors, {warnings} warnings"])
