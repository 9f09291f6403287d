"""Estimates of the memory that connections and requests occupy."""

# Bytes of an open connection without a request: its objects, parser and task.
CONNECTION_OVERHEAD_BYTES = 16 * 1024
# Bytes of a request that is forwarded, without its head and body: its objects, tasks
# and the connection to the target.
REQUEST_OVERHEAD_BYTES = 48 * 1024
# Bytes of a parsed header field beyond those that were received, in the request and in
# its copy for the target.
FIELD_OVERHEAD_BYTES = 640
# Copies of a body that is sent to a target.
BODY_COPIES = 2


def request_cost(head_bytes: int, fields: int, body_bytes: int) -> int:
    """Return the memory in bytes that a whole request occupies until it is answered.

    The body is copied into the send buffer of a target that doesn't read it.
    """
    head_cost = head_bytes + fields * FIELD_OVERHEAD_BYTES
    return REQUEST_OVERHEAD_BYTES + head_cost + BODY_COPIES * body_bytes
