"""Rendezvous hashing of keys over members."""

from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.rendezvous import pick_members

MEMBERS = [MemberId(EntryName(f"e{n}"), Incarnation("1")) for n in range(8)]
KEYS = [f"target-{n}" for n in range(200)]


def test_the_pick_does_not_depend_on_the_order_of_members():
    for key in KEYS:
        assert pick_members(key, MEMBERS, 2) == pick_members(key, MEMBERS[::-1], 2)


def test_keys_are_spread_evenly():
    picked = [member for key in KEYS for member in pick_members(key, MEMBERS, 2)]
    assert len(picked) == 400
    assert all(20 <= picked.count(member) <= 80 for member in MEMBERS)


def test_a_member_that_leaves_moves_only_its_own_keys():
    for key in KEYS:
        before = pick_members(key, MEMBERS, 1)
        after = pick_members(key, MEMBERS[1:], 1)
        assert before in (after, (MEMBERS[0],))


def test_all_members_are_picked_if_there_are_too_few():
    assert pick_members("d", MEMBERS[:1], 2) == (MEMBERS[0],)
