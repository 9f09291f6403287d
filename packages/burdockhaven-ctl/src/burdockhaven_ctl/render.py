"""Answers as tables for people or as JSON for programs."""

from collections.abc import Iterable, Sequence

import msgspec

from burdockhaven_core.admin_messages import (
    ChangeReply,
    ConfigurationReply,
    FloorsReply,
    HistoryReply,
    InForceReply,
    MembersReply,
    QueuesReply,
    TargetsReply,
)

Reply = (
    ChangeReply
    | ConfigurationReply
    | FloorsReply
    | HistoryReply
    | MembersReply
    | QueuesReply
    | TargetsReply
)

EMPTY_TABLE = "(none)"


def render_json(reply: Reply) -> str:
    """The answer as one JSON object."""
    return msgspec.json.format(msgspec.json.encode(reply), indent=2).decode()


def render_table(reply: Reply) -> str:
    """The answer as text."""
    match reply:
        case ChangeReply():
            return _format_change(reply)
        case ConfigurationReply():
            return _format_configuration(reply)
        case HistoryReply(changes=rows):
            return _format_table(rows)
        case MembersReply(members=members):
            return _format_table(members)
        case TargetsReply(targets=targets):
            return _format_table(targets)
        case FloorsReply(floors=floors):
            return _format_table(floors)
        case QueuesReply(queues=queues):
            return _format_table(queues)


def _format_change(reply: ChangeReply) -> str:
    lines = [f"{reply.result.value}: operation {reply.operation_id}"]
    if reply.version:
        lines.append(f"version {reply.version}")
    if reply.in_force is not None:
        lines.append(_format_rollout(reply.in_force))
    if reply.winner is not None:
        winner = reply.winner
        lines.append(
            f"version {winner.version} was made by operation {winner.operation_id} "
            f"of {winner.operator or 'nobody named'}: {winner.summary}"
        )
    if reply.reason:
        lines.append(reply.reason)
    for fault in reply.faults:
        lines.append(f"{fault.path}: found {fault.seen}; allowed: {fault.allowed}")
        lines.append(f"    {fault.remedy}")
    return "\n".join(lines)


def _format_configuration(reply: ConfigurationReply) -> str:
    lines = [_format_rollout(reply.in_force), "", "templates"]
    lines += [
        f"  {name}: {len(template.groups)} groups, {len(template.classes)} classes"
        for name, template in sorted(reply.templates.items())
    ]
    lines += ["", "accounts"]
    lines += [
        f"  {name}: template {account.template}, weight {account.weight:g}"
        for name, account in sorted(reply.accounts.items())
    ]
    return "\n".join(lines)


def _format_rollout(rollout: InForceReply) -> str:
    return f"version {rollout.version} in force on {rollout.on} of {rollout.of} entries"


def _format_table(rows: Iterable[object]) -> str:
    records = [msgspec.to_builtins(row) for row in rows]
    if not records:
        return EMPTY_TABLE
    header = list(records[0])
    cells = [[_format_cell(record.get(name)) for name in header] for record in records]
    widths = [
        max(len(line[column]) for line in [header, *cells])
        for column in range(len(header))
    ]
    return "\n".join(_format_row(line, widths) for line in [header, *cells])


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return " ".join(str(each) for each in value)
    return str(value)
