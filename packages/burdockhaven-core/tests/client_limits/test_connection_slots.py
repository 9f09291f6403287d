from burdockhaven_core.client_limits import ConnectionSlots


def slots_of(capacity, *connections):
    slots = ConnectionSlots(capacity)
    for connection in connections:
        slots.add()
        slots.begin_wait(connection)
    return slots


def test_longest_waiting_connection_makes_room():
    slots = slots_of(2, "a", "b")
    assert slots.is_full()
    assert slots.take_longest_waiting() == "a"
    assert not slots.is_full()


def test_connection_with_a_request_under_way_never_makes_room():
    slots = slots_of(2, "a", "b")
    slots.end_wait("a")
    assert slots.take_longest_waiting() == "b"
    slots.remove("b")
    slots.add()
    assert slots.is_full()
    assert slots.take_longest_waiting() is None


def test_wait_begins_anew_after_a_response():
    slots = slots_of(2, "a", "b")
    slots.end_wait("a")
    slots.begin_wait("a")
    assert slots.take_longest_waiting() == "b"


def test_connection_that_leaves_is_not_chosen_again():
    slots = slots_of(1, "a")
    assert slots.take_longest_waiting() == "a"
    slots.begin_wait("a")
    assert slots.take_longest_waiting() is None
    slots.remove("a")
    assert slots.open == 0
    assert not slots.leaving
