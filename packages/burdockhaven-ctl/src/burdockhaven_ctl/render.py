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

NOTHING = "(none)"


def render_json(reply: Reply) -> str:
    """The answer as one JSON object."""
    return msgspec.json.format(msgspec.json.encode(reply), indent=2).decode()


def render_table(reply: Reply) -> str:
    """The answer as text."""
    match reply:
        case ChangeReply():
            return _change(reply)
        case ConfigurationReply():
            return _configuration(reply)
        case HistoryReply(changes=rows):
            return _table(rows)
        case MembersReply(members=members):
            return _table(members)
        case TargetsReply(targets=targets):
            return _table(targets)
        case FloorsReply(floors=floors):
            return _table(floors)
        case QueuesReply(queues=queues):
            return _table(queues)


def _change(reply: ChangeReply) -> str:
    lines = [f"{reply.result.value}: operation {reply.operation_id}"]
    if reply.version:
        lines.append(f"version {reply.version}")
    if reply.in_force is not None:
        lines.append(_spread(reply.in_force))
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


def _configuration(reply: ConfigurationReply) -> str:
    lines = [_spread(reply.in_force), "", "templates"]
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


def _spread(spread: InForceReply) -> str:
    return f"version {spread.version} in force on {spread.on} of {spread.of} entries"


def _table(rows: Iterable[object]) -> str:
    records = [msgspec.to_builtins(row) for row in rows]
    if not records:
        return NOTHING
    header = list(records[0])
    cells = [[_cell(record.get(name)) for name in header] for record in records]
    widths = [
        max(len(line[column]) for line in [header, *cells])
        for column in range(len(header))
    ]
    return "\n".join(_line(line, widths) for line in [header, *cells])


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return " ".join(str(each) for each in value)
    return str(value)
