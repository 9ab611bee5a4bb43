"""A configuration as its file states it, with the entries that an instance would drop."""

import re
from typing import TypeVar

import msgspec

from whinrack.dispatch import PoolRecord, Route, WorkspaceRecord
from whinrack.exceptions import InvalidObject
from whinrack.http1 import ServerLimits

__all__ = [
    "DeclarationReader",
    "DeclaredConfiguration",
    "decode_json",
]

_T = TypeVar("_T")
_BYTE_PATTERN = re.compile(r" \(byte (\d+)\)")


class DeclaredConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """All entries of a configuration in their order, duplicates included.

    Attributes
    ----------
    pools : tuple of PoolRecord
        A cold start may have a value of 0; instances ignore such a one.
    is_key_required : bool
        Whether routes that are not public require a key.
    ignored_fields : tuple of str
        Fields that instances ignore, with the reason.
    """

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[PoolRecord, ...] = ()
    workspaces: tuple[WorkspaceRecord, ...] = ()
    limits: ServerLimits = ServerLimits()
    is_key_required: bool = True
    ignored_fields: tuple[str, ...] = ()


class DeclarationReader:
    """Reads a configuration file; this one reads JSON with the fields of the records."""

    def read(self, data: bytes) -> DeclaredConfiguration:
        """Decode the content of a file.

        Raises
        ------
        InvalidObject
            With the position of the error.
        """
        return decode_json(data, DeclaredConfiguration)


def decode_json(data: bytes, kind: type[_T]) -> _T:
    """Decode JSON.

    Raises
    ------
    InvalidObject
        The message has line and column of malformed JSON, and the path of an invalid value.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise InvalidObject(str(error)) from error
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise InvalidObject(_describe_position(data, str(error))) from error


def _describe_position(data: bytes, message: str) -> str:
    """Replace the byte offset in a message by line and column; the end if there is no offset."""
    match = _BYTE_PATTERN.search(message)
    before = data[: int(match.group(1))] if match else data
    line, column = before.count(b"\n") + 1, len(before) - before.rfind(b"\n")
    return f"line {line}, column {column}: {_BYTE_PATTERN.sub('', message)}"
