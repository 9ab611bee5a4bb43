"""Status requests to all routers of the instance list."""

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from whinrack.exceptions import PeerUnavailable, WhinrackError
from whinrack.status import FLEET_KEY_HEADER, RouterStatus
from whinrack.store import InstanceRecord, ObjectStore

__all__ = ["RouterRow", "read_fleet_status"]

_TIMEOUT_SECONDS = 2.0


class RouterRow(msgspec.Struct, frozen=True):
    """Router of the instance list.

    Attributes
    ----------
    listed_as : str
        State in the instance list.
    status : RouterStatus or None
        Status reported by the router, None if it did not respond.
    """

    name: str
    address: str
    listed_as: str
    status: RouterStatus | None


def read_fleet_status(store: ObjectStore, fleet_key: str) -> Result[list[RouterRow], WhinrackError]:
    """Request the status of each listed router."""
    listed = store.instances()
    if isinstance(listed, Failure):
        return listed
    http = urllib3.PoolManager(retries=False)
    routers = [record for record in listed.unwrap() if record.role == "router"]
    return Success([_read_row(http, record, fleet_key) for record in routers])


def _read_row(http, record: InstanceRecord, fleet_key: str) -> RouterRow:
    status = _request_status(http, record.http_address, fleet_key)
    return RouterRow(record.name, record.http_address, str(record.state), status.value_or(None))


def _request_status(http, address: str, fleet_key: str) -> Result[RouterStatus, PeerUnavailable]:
    try:
        reply = http.request(
            "GET",
            f"http://{address}/v1/status",
            headers={FLEET_KEY_HEADER: fleet_key},
            timeout=_TIMEOUT_SECONDS,
        )
    except urllib3.exceptions.HTTPError as error:
        return Failure(PeerUnavailable(str(error)))
    if reply.status != 200:
        return Failure(PeerUnavailable(f"HTTP status {reply.status}"))
    return Success(msgspec.json.decode(reply.data, type=RouterStatus))
