"""Tests that heartbeats of two versions are compatible during a rolling restart."""

import msgspec
import pytest

from whinrack.budgets import RestartTime, RunRelease
from whinrack.dispatch import HallStatus
from whinrack.gossip import (
    DrawRequest,
    Heartbeat,
    Message,
    PeerAddress,
    PeerState,
    ReleaseRequest,
    StreamAnswer,
    StreamBegan,
    SuspectCases,
    TargetLoads,
)
from whinrack.quarantine import Case
from whinrack.streams import StreamOrigin, UnsettledStart

STATE = PeerState(
    incarnation="a.1",
    sequence=1,
    sender=PeerAddress("a", "10.0.0.1", 1),
    callers="10.0.0.1:80",
    data_hall="h",
    ready=True,
    store_answers=True,
    load=0,
    configuration=1,
)
# Fields of a heartbeat before those of the quarantine and the start times were added.
_EARLIER_FIELDS = 9
ORIGIN = StreamOrigin("lm", "v1")


class EarlierHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat", kw_only=True):
    """Heartbeat as the previous version defines it."""

    state: PeerState
    number: int = 0
    wall_time: float = 0.0
    leaving_targets: list[str] = []
    removed_targets: list[list] = []
    peers: list[PeerAddress] = []
    passed_on: list[PeerState] = []
    ages: dict[int, int] = {}
    requests_states: bool = False


def test_earlier_version_decodes_a_later_heartbeat():
    beat = Heartbeat(
        state=STATE,
        number=3,
        leaving_targets=["t"],
        suspects_checksum=7,
        leaving_start_times=[5],
        emptied_halls=[HallStatus("z", 4, True)],
    )
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(beat), type=EarlierHeartbeat)
    assert (read.number, read.leaving_targets) == (3, ["t"])


def test_later_version_decodes_an_earlier_heartbeat():
    assert len(EarlierHeartbeat.__struct_fields__) == _EARLIER_FIELDS
    beat = EarlierHeartbeat(state=STATE, number=3, leaving_targets=["t"])
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(beat), type=Message)
    assert (read.leaving_targets, read.leaving_start_times, read.suspects_checksum) == (
        ["t"],
        [],
        0,
    )
    assert read.emptied_halls == []


def test_emptied_halls_survive_encoding():
    halls = [HallStatus("z", 4, True), HallStatus("odd \u20ac\u0001", 9, False)]
    beat = Heartbeat(state=STATE, emptied_halls=halls)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(beat), type=Message).emptied_halls == halls


def test_earlier_version_rejects_an_unknown_kind_of_message():
    message = SuspectCases("a", [Case(fingerprint="f")])
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=EarlierHeartbeat)


class EarlierStreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="began"):
    """Origin of a stream as the version without unsettled origins defines it."""

    key: bytes
    origin: StreamOrigin


class EarlierStreamAnswer(msgspec.Struct, frozen=True, array_like=True, tag="origin_is"):
    """Answer where a stream began as the version without unsettled origins defines it."""

    number: int
    origin: StreamOrigin | None


@pytest.mark.parametrize(
    ("message", "earlier"),
    [
        (StreamBegan(b"k", ORIGIN, UnsettledStart("t", 1, 0.2)), EarlierStreamBegan(b"k", ORIGIN)),
        (StreamAnswer(1, ORIGIN, 0.2), EarlierStreamAnswer(1, ORIGIN)),
    ],
)
def test_versions_with_and_without_unsettled_origins_decode_each_other(message, earlier):
    encoded = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(encoded, type=Message) == message
    assert msgspec.msgpack.decode(encoded, type=type(earlier)) == earlier
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=Message)
    assert read == type(message)(*msgspec.structs.astuple(earlier))


@pytest.mark.parametrize(
    "message",
    [
        DrawRequest(1, []),
        ReleaseRequest(1, "a", RunRelease("m.2", RestartTime(1.0, 2.0, 3.5), ["m.1"])),
        TargetLoads("a", {1: 2}, {1: 30}),
    ],
)
def test_rows_without_the_last_field_and_with_a_later_one_are_read(message):
    row = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    for other in (row[:-1], [*row, "later"]):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(other), type=Message) == message
