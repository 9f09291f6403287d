from burdockhaven_core.response_validation import ResponseFault, find_head_fault


def fault_of(status):
    violation = find_head_fault(status)
    return None if violation is None else violation.fault


def test_only_a_switch_of_protocols_is_no_interim_response():
    assert fault_of(101) is ResponseFault.UPGRADE
    assert [fault_of(status) for status in (100, 102, 103, 199, 200, 599)] == [None] * 6
