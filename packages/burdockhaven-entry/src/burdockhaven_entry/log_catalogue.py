"""The catalogue of log events: level, message, fields and what an operator does.

`python -m burdockhaven_entry.log_catalogue` prints the table of docs/EVENTS.md.
"""

from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber


@dataclass(frozen=True, slots=True)
class EventSpec:
    """What is known of a log event beforehand."""

    number: EventNumber
    # "debug", "info", "warning" or "error".
    level: str
    # The message; names in braces are fields.
    message: str
    # What an operator does about it.
    operator_action: str
    # Meaning of each field, by name.
    fields: dict[str, str] = field(default_factory=dict)


_SPECS = (
    EventSpec(
        EventNumber.START,
        "info",
        "Entry {entry} starts as incarnation {incarnation}.",
        "Nothing.",
        {"entry": "name of the entry", "incarnation": "identity of this process"},
    ),
    EventSpec(
        EventNumber.READY,
        "info",
        "Entry {entry} takes requests at {address}.",
        "Nothing.",
        {"entry": "name of the entry", "address": "where callers connect"},
    ),
    EventSpec(
        EventNumber.STOP_REQUESTED,
        "info",
        "A stop was requested; requests in progress are finished first.",
        "Wait for event 104; a second signal is not needed.",
    ),
    EventSpec(
        EventNumber.STOPPED,
        "info",
        "Every request in progress is finished; the process exits.",
        "Nothing.",
    ),
    EventSpec(
        EventNumber.SETTINGS_FAULT,
        "error",
        "Settings: {fault}",
        "Mend the settings file; `--check` shows all faults at once.",
        {"fault": "section, key, value seen and what is allowed"},
    ),
    EventSpec(
        EventNumber.LIBRARY_MESSAGE,
        "warning",
        "{source}: {text}",
        "Read the text; it comes from a library.",
        {"source": "name of the library's logger", "text": "the library's message"},
    ),
    EventSpec(
        EventNumber.BAD_PEER_MESSAGE,
        "warning",
        "A message of {peer} was dropped: {detail}.",
        "Check that both entries run versions that go together and that nothing else "
        "connects to the peer address.",
        {"peer": "sender's address or name", "detail": "what was wrong with it"},
    ),
    EventSpec(
        EventNumber.PEER_LOST,
        "warning",
        "Member {peer} of incarnation {incarnation} is lost: {detail}.",
        "If the VM list shows the VM as live, look at the VM and the network to it.",
        {
            "peer": "name of the member",
            "incarnation": "identity of its process",
            "detail": "how it was found out",
        },
    ),
    EventSpec(
        EventNumber.PEER_JOINED,
        "info",
        "Member {peer} of incarnation {incarnation} joined from {address}.",
        "Nothing.",
        {
            "peer": "name of the member",
            "incarnation": "identity of its process",
            "address": "its peer address",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_REFUSED,
        "info",
        "A request of {account}, class {request_class}, was not run: {reason}.",
        "Watch the rate by reason; see the metric burdockhaven_refusals.",
        {
            "account": "client account",
            "request_class": "class of the request",
            "reason": "why the request was not run",
        },
    ),
    EventSpec(
        EventNumber.RUN_LOST,
        "warning",
        "Run {run_id} at target {target} is lost: {detail}.",
        "The caller was told `unknown`. Look at the target and the network to it.",
        {
            "run_id": "identity of the run",
            "target": "name of the target",
            "detail": "what failed",
        },
    ),
    EventSpec(
        EventNumber.RUN_FINISHED,
        "debug",
        "Run {run_id} at target {target} gave its whole answer of {tokens} tokens.",
        "Nothing.",
        {
            "run_id": "identity of the run",
            "target": "name of the target",
            "tokens": "length of the answer",
        },
    ),
    EventSpec(
        EventNumber.ASSIGNMENT_FORGED,
        "warning",
        "An assignment shown by account {account} was refused: {detail}.",
        "If it is not an entry with another assignment key, ask the client account.",
        {"account": "client account that showed it", "detail": "what was wrong"},
    ),
    EventSpec(
        EventNumber.REQUEST_MALFORMED,
        "info",
        "A call to {path} was refused with status {status}: {detail}.",
        "Tell the client account's developers; docs/CALLERS.md has the formats.",
        {
            "path": "path that was called",
            "status": "HTTP status of the answer",
            "detail": "what was wrong with it",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_ANSWERED,
        "info",
        "Request {request} on {route} ended with {status} after {total_ms} ms.",
        "Look at `failures`; docs/OPERATIONS.md goes from here to the cause.",
        {
            "request": "identity of the client's try",
            "route": "route that it took",
            "account": "client account; empty if there is none",
            "service": "service that it went to",
            "priority": "rank of the account and of the route; 0 is most urgent",
            "version": "version of the configuration that routed it",
            "status": "status of the answer; 0 if the client left",
            "target": "target of the last send; empty if there was none",
            "sends": "times that it was sent",
            "prompt_tokens": "tokens of its prompt",
            "output_tokens": "most tokens that its answer may have",
            "queued_ms": "time in a broker's queue",
            "first_event_ms": "time to its first event; -1 if none came",
            "events": "events that were passed on",
            "longest_pause_ms": "longest time between two of them",
            "total_ms": "time to its end",
            "failures": "failed sends and refusals, each with step and target",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_TURNED_AWAY,
        "info",
        "A request to {host}{path} was turned away with {status}.",
        "401: the key is unknown in the version in force. 404: no such route there.",
        {
            "request": "identity of the client's try; empty if it was not read",
            "host": "host that was asked for",
            "path": "path that was asked for",
            "status": "status of the answer",
        },
    ),
    EventSpec(
        EventNumber.CONFIGURATION_IN_FORCE,
        "info",
        "Configuration version {version} is in force.",
        "Nothing.",
        {"version": "version of the configuration"},
    ),
    EventSpec(
        EventNumber.CONFIGURATION_OLDER_IGNORED,
        "warning",
        "Configuration version {version} was ignored; version {in_force} is in force.",
        "Expected now and then during an outage. If it repeats, check that the "
        "key-value service was not restored from an old copy.",
        {
            "version": "version that was ignored",
            "in_force": "version in force",
        },
    ),
    EventSpec(
        EventNumber.KEY_VALUE_OUTAGE_BEGIN,
        "error",
        "The key-value service fails: {detail}.",
        "Requests go on; changes of the configuration are refused until event 404.",
        {"detail": "the failed call and its error"},
    ),
    EventSpec(
        EventNumber.KEY_VALUE_OUTAGE_END,
        "info",
        "The key-value service answers again after {seconds} s.",
        "Nothing.",
        {"seconds": "length of the outage"},
    ),
    EventSpec(
        EventNumber.CONFIGURATION_WRITTEN_BACK,
        "error",
        "The key-value service held version {found}; version {version} was written "
        "back.",
        "The service lost accepted changes. Find out what else it lost, and compare "
        "the history with what you published.",
        {
            "found": "version that the service held",
            "version": "version that the members have in force",
        },
    ),
    EventSpec(
        EventNumber.CONFIGURATION_UNREADABLE,
        "error",
        "The configuration in the key-value service cannot be read: {detail}.",
        "The members keep the version in force. Find out who wrote to the keys below "
        "/burdockhaven/configuration/, and restore them.",
        {"detail": "the place and what was found there"},
    ),
    EventSpec(
        EventNumber.OPERATOR_CHANGE,
        "info",
        "Operation {operation} of {operator}, {change}: {outcome}.",
        "Nothing.",
        {
            "operation": "identity of the operation",
            "operator": "who asked, as the client said",
            "change": "what was to be changed",
            "outcome": "what came of it",
        },
    ),
    EventSpec(
        EventNumber.OPERATOR_REFUSED,
        "warning",
        "A call of {peer} to the administration API was refused: no valid token.",
        "If it is not one of your operators, find out who reaches the address.",
        {"peer": "address of the client"},
    ),
    EventSpec(
        EventNumber.MEMBER_LEASE_LOST,
        "warning",
        "The member lease of this process has lapsed; a new one is asked for.",
        "Expected after an outage of the key-value service or a pause of the VM.",
    ),
    EventSpec(
        EventNumber.TARGET_LEAVING,
        "info",
        "Target {target} is leaving and gets no new work.",
        "Nothing if it was planned.",
        {"target": "name of the target"},
    ),
    EventSpec(
        EventNumber.TARGET_STRAGGLING,
        "warning",
        "Target {target} is {factor} times slower than its group.",
        "Look at the target; it gets less work until it recovers.",
        {"target": "name of the target", "factor": "its slowness against the group"},
    ),
    EventSpec(
        EventNumber.TARGET_ENTRY_UNREADABLE,
        "warning",
        "The entry {key} at revision {revision} names no target: {detail}.",
        "Find out who writes to the key; the other entries hold.",
        {
            "key": "key in the store",
            "revision": "the store's revision of the write",
            "detail": "what was wrong with it",
        },
    ),
    EventSpec(
        EventNumber.ORDERS_TAKEN,
        "info",
        "This process gives the orders to engines now, with fencing number {fencing}.",
        "Nothing.",
        {"fencing": "number that goes with its orders"},
    ),
    EventSpec(
        EventNumber.ORDER_DONE,
        "info",
        "Target {target} has carried out the order {order} {argument}.",
        "Nothing.",
        {
            "target": "name of the target",
            "order": "kind of the order",
            "argument": "what it is to load or to be",
        },
    ),
    EventSpec(
        EventNumber.ORDER_FAILED,
        "warning",
        "The order {order} to target {target} failed: {detail}.",
        "It is given again. If it keeps failing, look at the target and at the name "
        "that the template orders.",
        {
            "target": "name of the target",
            "order": "kind of the order",
            "detail": "what failed",
        },
    ),
    EventSpec(
        EventNumber.FLOOR_CLOSED,
        "warning",
        "Group {group} admits nothing below tier {tier}.",
        "The group is overloaded; add targets if it lasts.",
        {"group": "name of the group", "tier": "lowest tier that is admitted"},
    ),
    EventSpec(
        EventNumber.FLOOR_OPENED,
        "info",
        "Group {group} admits every tier from {tier} up again.",
        "Nothing.",
        {"group": "name of the group", "tier": "lowest tier that is admitted"},
    ),
    EventSpec(
        EventNumber.QUEUE_HELD,
        "info",
        "The broker holds {queued} requests; engines: {engines}.",
        "Engines that are `stalled` or `ejected` for long need a look.",
        {
            "queued": "requests that wait for an engine",
            "engines": "by engine: runs/slots, not begun, slowness, and its state",
        },
    ),
    EventSpec(
        EventNumber.INTERNAL_ERROR,
        "error",
        "Internal error in {step}: {error}",
        "Report it as a bug, with the lines around it.",
        {"step": "where it arose", "error": "the exception"},
    ),
)

# Each event by its number.
CATALOGUE: dict[EventNumber, EventSpec] = {spec.number: spec for spec in _SPECS}


def catalogue_rows() -> list[str]:
    """The rows of the table in docs/EVENTS.md."""
    return [_format_row(CATALOGUE[number]) for number in sorted(CATALOGUE)]


def _format_row(spec: EventSpec) -> str:
    fields = "; ".join(f"`{name}`: {meaning}" for name, meaning in spec.fields.items())
    cells = (
        str(int(spec.number)),
        spec.number.name,
        spec.level,
        spec.message,
        fields or "none",
        spec.operator_action,
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print("\n".join(catalogue_rows()))
