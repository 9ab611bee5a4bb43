"""A target that cut an answer is asked once whether it is still there."""

import socket

import eventlet
import pytest

from whinrack.dispatch import TargetRecord
from whinrack.dispatch._registry import TargetState
from whinrack.dispatch._target_ends import Presence, TargetEnds, knock


@pytest.fixture
def listener():
    sock = socket.create_server(("127.0.0.1", 0))
    yield sock
    sock.close()


def test_a_listening_target_is_here(listener):
    assert knock(listener.getsockname()) is Presence.HERE


def test_one_whose_process_is_gone_has_ended(listener):
    address = listener.getsockname()
    listener.close()
    assert knock(address) is Presence.ENDED


def test_many_cuts_at_once_are_one_question():
    asked = []

    def answer(address):
        asked.append(address)
        return Presence.ENDED

    ends = TargetEnds(answer)
    states = [TargetState(TargetRecord(name, "p", "h", 1)) for name in ("t1", "t2")]
    for _ in range(3):
        for state in states:
            ends.cut(state)
    eventlet.sleep(0.1)
    assert len(asked) == 2
