"""Accounting of network traffic by message and data hall."""

from whinrack.edge._traffic import Locality, TrafficMeter


def meter(counted):
    halls = {"10.0.0.1": "here", "10.0.0.2": "there"}
    return TrafficMeter("here", halls.get, lambda *what: counted.append(what))


def test_messages_are_counted_by_name_and_receiver_hall():
    counted = []
    traffic = meter(counted)
    for address, size in (("10.0.0.1", 5), ("10.0.0.2", 7), ("10.0.0.2", 8), ("10.0.0.3", 9)):
        traffic.record("beat", (address, 1), size)
    assert traffic.bytes["beat", Locality.OWN_HALL] == 5
    assert traffic.bytes["beat", Locality.OTHER_HALL] == 15
    assert traffic.messages["beat", Locality.OTHER_HALL] == 2
    assert traffic.bytes["beat", Locality.UNKNOWN] == 9
    assert counted[1] == ("beat", Locality.OTHER_HALL, 7)


def test_the_summary_lists_messages_and_bytes():
    traffic = meter([])
    traffic.record("loads", ("10.0.0.2", 1), 7)
    traffic.record("beat", ("10.0.0.1", 1), 5)
    assert traffic.summary() == "beat/own_hall:1:5 loads/other_hall:1:7"


def test_target_traffic_is_counted_by_hall():
    counted = []
    traffic = meter(counted)
    traffic.record_for_hall("request", "there", 30)
    traffic.record_for_hall("answer", "here", 40)
    assert counted == [("request", Locality.OTHER_HALL, 30), ("answer", Locality.OWN_HALL, 40)]
