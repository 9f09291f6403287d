"""Catalogue of log events: level, message, fields and action for the operator.

`python -m burdockhaven_entry.log_catalogue` prints the table of docs/EVENTS.md.
"""

from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber


@dataclass(frozen=True, slots=True)
class EventSpec:
    """Static description of a log event."""

    number: EventNumber
    # "debug", "info", "warning" or "error".
    level: str
    # Message template; the names in braces are fields.
    message: str
    # What an operator should do about the event.
    operator_action: str
    # Meanings of the fields by name.
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
        "Entry {entry} accepts requests at {address}.",
        "Nothing.",
        {"entry": "name of the entry", "address": "address for callers"},
    ),
    EventSpec(
        EventNumber.STOP_REQUESTED,
        "info",
        "Shutdown was requested; requests in flight are drained first.",
        "Wait for event 104; a second signal is not needed.",
    ),
    EventSpec(
        EventNumber.STOPPED,
        "info",
        "All requests in flight have ended; the process exits.",
        "Nothing.",
    ),
    EventSpec(
        EventNumber.SETTINGS_FAULT,
        "error",
        "Invalid settings: {fault}",
        "Correct the settings file; `--check` reports all faults at once.",
        {"fault": "section, key, value found and allowed values"},
    ),
    EventSpec(
        EventNumber.LIBRARY_MESSAGE,
        "warning",
        "{source}: {text}",
        "Read the text, which comes from a library.",
        {"source": "name of the library's logger", "text": "the library's message"},
    ),
    EventSpec(
        EventNumber.RESPONSES_CUT,
        "warning",
        "The grace period ends before {count} responses are complete.",
        "Find the requests by their ids; a longer grace period lets them end.",
        {
            "count": "responses that are cut",
            "requests": (
                "the first of them: request id, target, seconds from the start of the "
                "drain to the arrival (negative if it arrived before)"
            ),
        },
    ),
    EventSpec(
        EventNumber.BAD_PEER_MESSAGE,
        "warning",
        "A message from {peer} was dropped: {detail}.",
        "Check that both entries run compatible versions and that nothing else "
        "connects to the peer address.",
        {
            "peer": "sender's address or name",
            "detail": "what is wrong with the message",
        },
    ),
    EventSpec(
        EventNumber.PEER_LOST,
        "warning",
        "Member {peer}, incarnation {incarnation}, is lost: {detail}.",
        "If the VM list shows the VM as live, check the VM and the network to it.",
        {
            "peer": "name of the member",
            "incarnation": "identity of its process",
            "detail": "how the loss was detected",
        },
    ),
    EventSpec(
        EventNumber.PEER_JOINED,
        "info",
        "Member {peer}, incarnation {incarnation}, joined from {address}.",
        "Nothing.",
        {
            "peer": "name of the member",
            "incarnation": "identity of its process",
            "address": "its peer address",
        },
    ),
    EventSpec(
        EventNumber.BROKER_SUSPECTED,
        "warning",
        "The broker of {peer} did not reply to {attempts} messages within "
        "up to {timeout_ms} ms each; it is skipped for {skipped_s} s.",
        "If many members log it for the same peer, check the processor time of that "
        "member.",
        {
            "peer": "name of the member",
            "attempts": "placement requests in a row without a reply",
            "timeout_ms": "longest time that a reply was awaited",
            "skipped_s": "time for which other brokers are used",
        },
    ),
    EventSpec(
        EventNumber.BROKER_CHANGED,
        "info",
        "Placement requests go to the broker of {peer} from now on, before to "
        "{previous}.",
        "None for one change after a stop. If members switch to and fro, look for 204.",
        {
            "peer": "name of the member whose broker is used",
            "previous": "member whose broker was used before; empty at the start",
            "processor_percent": "processor capacity of the member's VM in hundredths "
            "of a core; 0 if unknown",
            "strong_percent": "capacity from which on members are preferred as broker",
            "in_sync": "whether the broker's member is in sync with the store",
        },
    ),
    EventSpec(
        EventNumber.MEMBERS_UNHEARD,
        "info",
        "{count} registered members have sent nothing to this process yet: {nodes}.",
        "Nothing at a start. If it lasts: the path to these VMs.",
        {
            "nodes": "nodes of the members, up to 10",
            "count": "number of these members",
        },
    ),
    EventSpec(
        EventNumber.MEMBER_REMOVED,
        "info",
        "Member {node} has been silent for long and is no longer registered.",
        "Nothing, if its VM was removed.",
        {
            "node": "node of the member",
            "members": "number of registered members",
        },
    ),
    EventSpec(
        EventNumber.QUOTA_SHARE_CHANGED,
        "info",
        "This process and those that it hears, {heard} of {known}, may use {share} of "
        "each quota.",
        "Nothing at starts and stops. If it lasts: the path to the other members; if "
        "`registered` is false, also that to the key-value service.",
        {
            "share": "fraction of the quotas",
            "heard": "members that are heard, with this one",
            "known": "members that may be running, with this one",
            "registered": "whether this member's registration is certainly in force",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_REFUSED,
        "info",
        "A request of account {account}, class {request_class}, was not run: {reason}.",
        "Watch the rate by reason in the metric burdockhaven_refusals.",
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
        "The caller got the outcome `unknown`. Check the target and the network to it.",
        {
            "run_id": "identity of the run",
            "target": "name of the target",
            "detail": "what failed",
        },
    ),
    EventSpec(
        EventNumber.RUN_FINISHED,
        "debug",
        "Run {run_id} at target {target} completed an answer of {tokens} tokens.",
        "Nothing.",
        {
            "run_id": "identity of the run",
            "target": "name of the target",
            "tokens": "number of tokens in the answer",
        },
    ),
    EventSpec(
        EventNumber.ASSIGNMENT_FORGED,
        "warning",
        "An assignment presented by account {account} was refused: {detail}.",
        "Check that all entries have the same assignment key; if they do, contact the "
        "client account.",
        {
            "account": "client account that presented the assignment",
            "detail": "what is wrong with the assignment",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_MALFORMED,
        "info",
        "A call to {path} was refused with status {status}: {detail}.",
        "Tell the client account's developers; docs/CALLERS.md describes the formats.",
        {
            "path": "path of the call",
            "status": "HTTP status of the response",
            "detail": "what is wrong with the call",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_ANSWERED,
        "info",
        "Request {request} on {route} ended with status {status} after {total_ms} ms.",
        "Read `failures`; docs/OPERATIONS.md describes how to find the cause.",
        {
            "request": "identity of the client's attempt",
            "route": "route of the request",
            "account": "client account; empty if there is none",
            "service": "service to which the request was routed",
            "priority": "priorities of account and route; 0 is the most urgent",
            "version": "version of the configuration that routed the request",
            "status": "status of the response; 0 if the client disconnected",
            "target": "target of the last send; empty if nothing was sent",
            "software_versions": "software versions of the engines that sent events",
            "resumes": "identity of the attempt whose stream the client resumes; empty "
            "if it resumes none",
            "origin": "how the version that began a resumed stream became known: own, "
            "member, sole_version or unknown; empty if none is resumed",
            "origin_ms": "time from arrival until that was known or given up; 0 if "
            "none is resumed",
            "sends": "number of sends to targets",
            "prompt_tokens": "number of tokens in the prompt",
            "output_tokens": "maximum number of tokens in the answer",
            "queued_ms": "time in a broker's queue, or until a plain target is free",
            "first_event_ms": "time to the first event; -1 if none arrived",
            "events": "number of events forwarded",
            "longest_pause_ms": "longest pause between two events",
            "total_ms": "time from arrival to the end",
            "truncated_by": "why the response ended after its head and before its end; "
            "empty if it did not",
            "failures": "failed sends and refusals, each with its step and target",
            "parts": "the prompt's parts in order, if a run at an engine broke; empty "
            "otherwise",
            "content": "key of method, host, path, account and body, if a send failed; "
            "empty otherwise",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_TURNED_AWAY,
        "info",
        "A request to {host}{path} was refused before routing, with status {status}.",
        "401: the key is unknown in the version in force. 404: host and path match "
        "no route.",
        {
            "request": "identity of the client's attempt; empty if it was not read",
            "host": "host of the request",
            "path": "path of the request",
            "status": "status of the response",
            "version": "version of the configuration in force; 0 before the first",
            "confirmed_ms_ago": "milliseconds since the store last confirmed to this "
            "process or a member that it is the newest; -1 if never",
        },
    ),
    EventSpec(
        EventNumber.CLIENTS_LIMITED,
        "warning",
        "{count} connections or requests of clients gave way to the limits on memory "
        "and connections; {held_bytes} of {budget_bytes} bytes are held.",
        "Find out which clients don't finish requests or don't read responses. If they "
        "are sound, the machine needs more memory or descriptors, or there are too few "
        "members.",
        {
            "count": "connections and requests since the last of these events",
            "memory": "connections since the start that yielded memory",
            "connections": "connections since the start that made room for new ones",
            "stalled": "connections since the start that made no progress",
            "refused_connections": "connections since the start without room",
            "refused_requests": "whole requests since the start without room",
            "held_bytes": "bytes held for clients",
            "budget_bytes": "bytes that may be held for clients",
            "open": "open connections and their limit, by listener",
        },
    ),
    EventSpec(
        EventNumber.CONFIGURATION_IN_FORCE,
        "info",
        "Configuration version {version} is in force.",
        "Nothing.",
        {
            "version": "version of the configuration",
            "source": "where it was read: a revision of the store, or a member",
        },
    ),
    EventSpec(
        EventNumber.CONFIGURATION_OLDER_IGNORED,
        "warning",
        "Configuration version {version} was ignored; version {in_force} is in force.",
        "Expected occasionally during an outage. If it repeats, check that the "
        "key-value service was not restored from an old backup.",
        {
            "version": "version that was ignored",
            "in_force": "version in force",
        },
    ),
    EventSpec(
        EventNumber.KEY_VALUE_OUTAGE_BEGIN,
        "error",
        "Calls to the key-value service fail: {detail}.",
        "Requests are still served; configuration changes are refused until event 404.",
        {"detail": "the failed call and its error"},
    ),
    EventSpec(
        EventNumber.KEY_VALUE_OUTAGE_END,
        "info",
        "The key-value service is available again after {seconds} s.",
        "Nothing.",
        {"seconds": "duration of the outage"},
    ),
    EventSpec(
        EventNumber.CONFIGURATION_WRITTEN_BACK,
        "error",
        "The key-value service held version {found}; version {version} was written "
        "back.",
        "The service lost accepted changes. Find out what else was lost, and compare "
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
        "The members keep the version in force. Find out who wrote to the keys under "
        "/burdockhaven/configuration/, and restore them.",
        {"detail": "location of the fault and what was found there"},
    ),
    EventSpec(
        EventNumber.OPERATOR_CHANGE,
        "info",
        "Operation {operation} by {operator}, {change}: {outcome}.",
        "Nothing.",
        {
            "operation": "identity of the operation",
            "operator": "name of the operator as given by the client",
            "change": "requested change",
            "outcome": "result of the operation",
        },
    ),
    EventSpec(
        EventNumber.OPERATOR_REFUSED,
        "warning",
        "A call from {peer} to the administration API was refused: no valid token.",
        "If it is not one of your operators, find out who can reach the address.",
        {"peer": "address of the client"},
    ),
    EventSpec(
        EventNumber.MEMBER_LEASE_LOST,
        "warning",
        "The member lease of this process has expired; a new lease is requested.",
        "Expected after an outage of the key-value service or a pause of the VM.",
    ),
    EventSpec(
        EventNumber.STORE_ERA_RAISED,
        "warning",
        "The key-value service was restored from a copy: era {new} follows {old}.",
        "Expected in a drill. Otherwise find out what else the service has lost.",
        {
            "old": "era known before",
            "new": "era that the service or a member states",
            "source": "`store`, or the member that announced the era",
        },
    ),
    EventSpec(
        EventNumber.STORE_RESTORED,
        "info",
        "All is read and written again in era {era}, {seconds} s after it was noticed.",
        "If it is missing after event 410, check the connection to the service.",
        {
            "era": "era of the key-value service",
            "seconds": "time from event 410 until this process is up to date",
        },
    ),
    EventSpec(
        EventNumber.STORE_ERA_UNREADABLE,
        "info",
        "A response of the key-value service states no era that can be read: {value}.",
        "A restore of the service from a copy may go unnoticed.",
        {"value": "era as received"},
    ),
    EventSpec(
        EventNumber.VERSIONS_RECORDED,
        "info",
        "The software versions of {service} were recorded: {versions}.",
        "Nothing; compare with the releases.",
        {
            "service": "service of the engines",
            "versions": "versions that may have begun a stream that is resumed now",
            "retiring": "those of them that have gone and are removed next",
            "complete": "whether the record alone tells that there was no other one",
            "era": "era of the key-value service in which it was written",
        },
    ),
    EventSpec(
        EventNumber.VERSIONS_UNREADABLE,
        "warning",
        "The record of software versions at {key} is not readable: {detail}.",
        "It is written anew and of use after a resume window. Find out who wrote it.",
        {"key": "key of the record", "detail": "what is wrong with it"},
    ),
    EventSpec(
        EventNumber.ORIGINS_WRITTEN,
        "info",
        "Origins of {streams} streams were written; batches were last written "
        "{idle_s} s ago.",
        "Nothing; a service has several software versions.",
        {
            "streams": "streams in the first batch after a pause",
            "idle_s": "seconds since the batch before; -1 if there was none",
        },
    ),
    EventSpec(
        EventNumber.ORIGINS_NOT_WRITTEN,
        "warning",
        "Origins of {streams} streams could not be written yet: {detail}.",
        "If all processes end now, these streams can't be resumed.",
        {"streams": "streams that wait", "detail": "what failed"},
    ),
    EventSpec(
        EventNumber.ORIGINS_UNREADABLE,
        "warning",
        "The batch of stream origins at {key} is not readable: {detail}.",
        "Its streams may be refused when they are resumed. Find out who wrote it.",
        {"key": "key of the batch", "detail": "what is wrong with it"},
    ),
    EventSpec(
        EventNumber.CONNECTIONS_SILENT,
        "warning",
        "A call to the key-value service got no answer, while a later one on a new "
        "connection did: {ended} older calls are ended and {closed} idle connections "
        "to targets closed.",
        "Nothing once. Again and again on one VM: the path from there.",
        {
            "ended": "number of calls to the service that were ended",
            "closed": "number of idle connections to targets that were closed",
        },
    ),
    EventSpec(
        EventNumber.TARGET_LEAVING,
        "info",
        "Target {target} is leaving and gets no new requests.",
        "Nothing if it was planned.",
        {"target": "name of the target"},
    ),
    EventSpec(
        EventNumber.TARGET_STRAGGLING,
        "warning",
        "Target {target} is {factor} times slower than its group.",
        "Check the target; it gets fewer requests until it recovers.",
        {
            "target": "name of the target",
            "factor": "its slowdown relative to the group",
        },
    ),
    EventSpec(
        EventNumber.TARGET_ENTRY_UNREADABLE,
        "warning",
        "The record {key} at revision {revision} describes no target: {detail}.",
        "Find out who writes to the key; records of other targets stay in use.",
        {
            "key": "key in the store",
            "revision": "store revision of the write",
            "detail": "what is wrong with the record",
        },
    ),
    EventSpec(
        EventNumber.TARGET_LIMIT_CHANGED,
        "info",
        "Target {target} limits its requests to {limit} a second.",
        "A target that names a limit is in need; check it if the limit stays.",
        {
            "target": "name of the target",
            "limit": "requests a second from all members together; `none` once lifted",
            "source": "member that received the response with the limit",
        },
    ),
    EventSpec(
        EventNumber.TARGET_LIMIT_UNREADABLE,
        "warning",
        "Target {target} names a limit that cannot be read: {value}.",
        "The limit in force stays. Tell the owners of the target.",
        {"target": "name of the target", "value": "the limit as received"},
    ),
    EventSpec(
        EventNumber.TARGET_TOLD_LEAVING,
        "info",
        "Target {target} leaves and gets no new requests.",
        "Nothing, if it was stopped on purpose.",
        {
            "target": "name of the target",
            "started_ms": "Unix milliseconds of the start that leaves; 0 if unknown",
            "source": "member that received the response, or that announced the leave",
            "answer": "status and request of the response; `heartbeat` if announced",
        },
    ),
    EventSpec(
        EventNumber.TARGET_STARTED_ANEW,
        "info",
        "Target {target}, which left, has started again and gets requests.",
        "Nothing.",
        {
            "target": "name of the target",
            "started_ms": "Unix milliseconds of the new start",
        },
    ),
    EventSpec(
        EventNumber.TARGET_ENTRY_REMOVED_ELSEWHERE,
        "info",
        "Target {target} gets no new requests: {source} has read that its entry was"
        " removed.",
        "Nothing, if it was stopped. If it runs, see whether it reaches the store.",
        {
            "target": "name of the target",
            "started_ms": "Unix milliseconds of the start that wrote it; 0 if unknown",
            "era": "era of the store",
            "revision": "revision of the store at which the entry was removed",
            "source": "member that announced it",
        },
    ),
    EventSpec(
        EventNumber.TARGET_ENTRY_RETURNED_ELSEWHERE,
        "info",
        "Target {target} gets requests again: {source} has read that its entry was"
        " written again.",
        "Nothing.",
        {
            "target": "name of the target",
            "started_ms": "Unix milliseconds of the start that wrote it; 0 if unknown",
            "era": "era of the store",
            "revision": "revision of the store at which the entry was written again",
            "source": "member that announced it",
        },
    ),
    EventSpec(
        EventNumber.RESPONSE_REFUSED,
        "warning",
        "What target {target} sent to request {request} is no valid response:"
        " {cause}: {excerpt}.",
        "Tell the owners of the target. The request may have run; event 306 says what"
        " its client got. If the target goes on, take it out of service.",
        {
            "target": "name of the target",
            "request": "id of the request",
            "cause": "the fault; the label of `burdockhaven_refused_responses_total`",
            "excerpt": "some of the bytes, escaped, or what they say",
        },
    ),
    EventSpec(
        EventNumber.TARGET_SIGNAL_UNREADABLE,
        "warning",
        "The signal {signal} of target {target} cannot be read: {value}.",
        "The signal is ignored. Tell the owners of the target.",
        {
            "target": "name of the target",
            "signal": "`leaving` or `pause`",
            "value": "the value as received",
        },
    ),
    EventSpec(
        EventNumber.TARGET_PAUSED,
        "info",
        "Target {target} gets no request of this member for {seconds} s.",
        "A target that asks for pauses is overloaded; check it if they go on.",
        {
            "target": "name of the target",
            "seconds": "time until this member uses the target again",
            "asked_s": "seconds that the target asked for",
            "answer": "status and request of the response",
        },
    ),
    EventSpec(
        EventNumber.TARGET_PAUSE_ENDED,
        "info",
        "The pause of target {target} has ended after {seconds} s.",
        "Nothing.",
        {
            "target": "name of the target",
            "seconds": "time since the target first asked for the pause",
        },
    ),
    EventSpec(
        EventNumber.RESPONSE_HEADER_UNKNOWN,
        "warning",
        "Target {target} sends the header {header}, which is not known.",
        "Look up what it asks for; it is passed on to clients and has no effect here.",
        {"target": "name of the target", "header": "name in lower case"},
    ),
    EventSpec(
        EventNumber.CONNECTION_TRIED_AGAIN,
        "warning",
        "The time limit for connecting to target {target} ended {late_ms} ms late: "
        "this process stood still. It connects once more.",
        "The target is not at fault. Check the processor time of this VM.",
        {
            "target": "name of the target",
            "late_ms": "time by which the limit was overrun",
        },
    ),
    EventSpec(
        EventNumber.TARGET_PACED,
        "info",
        "Target {target} has {reason} and gets few requests until it responds in time.",
        "Nothing; event 517 follows once it gets all that it has slots for.",
        {"target": "name of the target", "reason": "started or recovered"},
    ),
    EventSpec(
        EventNumber.TARGET_PACE_ENDED,
        "info",
        "Target {target} gets all requests that it has slots for again: {timely} "
        "responses were timely, {late} were not.",
        "If many were not, compare the target's machine with the others.",
        {
            "target": "name of the target",
            "reason": "why it was paced: started or recovered",
            "timely": "responses in the expected time",
            "late": "reductions after a response that was late or failed",
        },
    ),
    EventSpec(
        EventNumber.ORDERS_TAKEN,
        "info",
        "This process holds the order lease, with fencing token {fencing}.",
        "Nothing.",
        {"fencing": "fencing token that is sent with each order"},
    ),
    EventSpec(
        EventNumber.ORDER_DONE,
        "info",
        "Target {target} has carried out the order {order} {argument}.",
        "Nothing.",
        {
            "target": "name of the target",
            "order": "kind of the order",
            "argument": "model, adapter, version or role that the order names",
        },
    ),
    EventSpec(
        EventNumber.ORDER_FAILED,
        "warning",
        "The order {order} to target {target} failed: {detail}.",
        "The order is retried. If it keeps failing, check the target and the name in "
        "the template's order.",
        {
            "target": "name of the target",
            "order": "kind of the order",
            "detail": "what failed",
        },
    ),
    EventSpec(
        EventNumber.FLOOR_CLOSED,
        "warning",
        "Group {group} is closed below tier {tier}.",
        "The group is overloaded; add targets if this persists.",
        {"group": "name of the group", "tier": "lowest admitted tier"},
    ),
    EventSpec(
        EventNumber.FLOOR_OPENED,
        "info",
        "Group {group} again admits all tiers from {tier} up.",
        "Nothing.",
        {"group": "name of the group", "tier": "lowest admitted tier"},
    ),
    EventSpec(
        EventNumber.QUEUE_HELD,
        "info",
        "The broker has {queued} requests queued and {runs} runs in {slots} slots; "
        "engines: {engines}.",
        "Check engines that stay `stalled` or `ejected`.",
        {
            "queued": "requests that wait for an engine",
            "runs": "runs at the engines that accept requests",
            "slots": "slots of these engines, without ejected and stalled ones",
            "routes": "by route since the last line: submitted/granted/refused, and "
            "the average cost of a run in slot seconds",
            "cpu_ms": "processor time of this process since the last line",
            "engines": "by engine: runs/slots, pending, slowdown, failure rate, state",
        },
    ),
    EventSpec(
        EventNumber.PROMPT_PART_ACCUSED,
        "info",
        "Engine {source} ended before it answered a prompt with part {part}; {ends} "
        "ends since a run with the part last began.",
        "Nothing, unless the part is quarantined (702).",
        {
            "part": "name of the part, as in the requests' headers",
            "ends": "number of ends of engines",
            "source": "the engine and its start",
        },
    ),
    EventSpec(
        EventNumber.PROMPT_PART_QUARANTINED,
        "warning",
        "Requests with prompt part {part} are refused for {seconds} s, because {ends} "
        "engines ended beneath it.",
        "Find the account of the requests with this part in event 306; have the part "
        "or the engines' software corrected.",
        {
            "part": "name of the part, as in the requests' headers",
            "ends": "number of ends of engines",
            "seconds": "time until one request tries the part again",
            "source": "the engine that ended last, or the member that announced it",
        },
    ),
    EventSpec(
        EventNumber.PROMPT_PART_ACQUITTED,
        "info",
        "An engine has begun to answer a prompt with part {part}, which {ends} ends of "
        "engines had accused.",
        "Nothing.",
        {
            "part": "name of the part, as in the requests' headers",
            "ends": "number of ends of engines",
            "source": "the member that announced it; empty for this one",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_ACCUSED,
        "info",
        "Target {source} ended beneath a request with content {content}; {ends} ends "
        "since one was answered.",
        "Nothing, unless the content is quarantined (705).",
        {
            "content": "key of method, host, path, account and body, as in event 306",
            "ends": "number of ends of targets",
            "source": "the target, or the member that announced it",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_QUARANTINED,
        "warning",
        "Requests with content {content} are refused for {seconds} s, because {ends} "
        "targets ended beneath them.",
        "Find the account and the route of this content in event 306; have the "
        "targets' software or the caller's request corrected.",
        {
            "content": "key of method, host, path, account and body, as in event 306",
            "ends": "number of ends of targets",
            "seconds": "time from the last end until one request tries it again",
            "source": "the target that ended last, or the member that announced it",
        },
    ),
    EventSpec(
        EventNumber.REQUEST_ACQUITTED,
        "info",
        "A request with content {content} was answered, which {ends} ends of targets "
        "had accused.",
        "Nothing.",
        {
            "content": "key of method, host, path, account and body, as in event 306",
            "ends": "number of ends of targets",
            "source": "the target that answered, or the member that announced it",
        },
    ),
    EventSpec(
        EventNumber.QUARANTINE_UNREADABLE,
        "warning",
        "The quarantine record at {key} cannot be read: {detail}.",
        "Find out who else writes under this prefix; the record is ignored.",
        {
            "key": "key in the key-value service",
            "revision": "revision of the store at which it was written",
            "detail": "what is wrong with it",
        },
    ),
    EventSpec(
        EventNumber.INTERNAL_ERROR,
        "error",
        "Internal error in {step}: {error}",
        "Report it as a bug, with the surrounding log lines.",
        {"step": "step in which it occurred", "error": "the exception"},
    ),
)

# Descriptions of all events by number.
CATALOGUE: dict[EventNumber, EventSpec] = {spec.number: spec for spec in _SPECS}


def catalogue_rows() -> list[str]:
    """Return the rows of the table in docs/EVENTS.md."""
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
