"""Bytes between instances, counted by message and data hall."""

from whinrack.edge._traffic import Place, TrafficMeter


def meter(counted):
    halls = {"10.0.0.1": "here", "10.0.0.2": "there"}
    return TrafficMeter("here", halls.get, lambda *what: counted.append(what))


def test_messages_are_counted_by_name_and_by_the_receivers_hall():
    counted = []
    traffic = meter(counted)
    for address, size in (("10.0.0.1", 5), ("10.0.0.2", 7), ("10.0.0.2", 8), ("10.0.0.3", 9)):
        traffic.moved("beat", (address, 1), size)
    assert traffic.bytes["beat", Place.OWN_HALL] == 5
    assert traffic.bytes["beat", Place.OTHER_HALL] == 15
    assert traffic.messages["beat", Place.OTHER_HALL] == 2
    assert traffic.bytes["beat", Place.UNKNOWN] == 9
    assert counted[1] == ("beat", Place.OTHER_HALL, 7)


def test_the_summary_names_messages_and_bytes():
    traffic = meter([])
    traffic.moved("loads", ("10.0.0.2", 1), 7)
    traffic.moved("beat", ("10.0.0.1", 1), 5)
    assert traffic.summary() == "beat/own_hall:1:5 loads/other_hall:1:7"


def test_what_moves_to_targets_is_counted_by_their_hall():
    counted = []
    traffic = meter(counted)
    traffic.moved_to_hall("request", "there", 30)
    traffic.moved_to_hall("answer", "here", 40)
    assert counted == [("request", Place.OTHER_HALL, 30), ("answer", Place.OWN_HALL, 40)]
