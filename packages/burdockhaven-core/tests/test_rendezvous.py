"""Members picked for a duty."""

from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.rendezvous import pick_members

MEMBERS = [MemberId(EntryName(f"e{n}"), Incarnation("1")) for n in range(8)]
DUTIES = [f"target-{n}" for n in range(200)]


def test_all_members_pick_alike():
    for duty in DUTIES:
        assert pick_members(duty, MEMBERS, 2) == pick_members(duty, MEMBERS[::-1], 2)


def test_duties_are_spread():
    picked = [member for duty in DUTIES for member in pick_members(duty, MEMBERS, 2)]
    assert len(picked) == 400
    assert all(20 <= picked.count(member) <= 80 for member in MEMBERS)


def test_a_member_that_leaves_moves_only_its_own_duties():
    for duty in DUTIES:
        before = pick_members(duty, MEMBERS, 1)
        after = pick_members(duty, MEMBERS[1:], 1)
        assert before in (after, (MEMBERS[0],))


def test_fewer_members_than_asked_for():
    assert pick_members("d", MEMBERS[:1], 2) == (MEMBERS[0],)
