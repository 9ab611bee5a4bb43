"""Commands for quarantined requests."""

import click
import msgspec
import urllib3
from returns.result import Failure, Result, Success

from whinrack.cli._options import OUTPUT_OPTION
from whinrack.cli._output import print_result, value_or_exit
from whinrack.exceptions import NotFound, PeerUnavailable, WhinrackError
from whinrack.quarantine import QuarantinedRequest

__all__ = ["quarantine"]

_TIMEOUT_SECONDS = 5.0
_OK = 200

_METRICS_OPTION = click.option(
    "--metrics",
    envvar="WHINRACK_METRICS",
    required=True,
    metavar="HOST:PORT",
    help="Metrics address of any instance. Environment variable: WHINRACK_METRICS.",
)


@click.group()
def quarantine() -> None:
    """List and lift quarantined requests: targets terminated while running them."""


@quarantine.command("list")
@_METRICS_OPTION
@OUTPUT_OPTION
def quarantine_list(metrics: str, output: str) -> None:
    """Show quarantined requests with workspace, route and the targets that terminated."""
    data = value_or_exit(_request("GET", metrics, "/quarantine"))
    rows = msgspec.json.decode(data, type=list[QuarantinedRequest])
    lines = [
        f"{row.fingerprint} workspace={row.workspace or '-'} route={row.route} "
        f"trials={row.trials} ended={','.join(row.targets)}"
        for row in rows
    ]
    print_result(rows, output, "\n".join(lines) or "none")


@quarantine.command("lift")
@click.argument("fingerprint")
@_METRICS_OPTION
def quarantine_lift(fingerprint: str, metrics: str) -> None:
    """Lift the quarantine of requests with FINGERPRINT in the whole fleet."""
    value_or_exit(_request("DELETE", metrics, f"/quarantine/{fingerprint}"))
    click.echo("lifted")


def _request(method: str, address: str, path: str) -> Result[bytes, WhinrackError]:
    try:
        reply = urllib3.request(
            method, f"http://{address}{path}", timeout=_TIMEOUT_SECONDS, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        return Failure(PeerUnavailable(f"{address} does not respond: {error}"))
    if reply.status != _OK:
        return Failure(NotFound("no such request in quarantine"))
    return Success(reply.data)
