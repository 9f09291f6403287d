"""Messages to and from targets; only the fields that the daemon uses."""

import msgspec


class CompletionRequest(msgspec.Struct, frozen=True):
    """Request body that starts a run at an engine."""

    model: str
    prompt: str
    max_tokens: int
    request_id: str
    stream: bool = True


class CompletionChoice(msgspec.Struct, frozen=True):
    """A part of an answer."""

    text: str = ""
    token_count: int = 0
    # "stop" on the last part, otherwise None.
    finish_reason: str | None = None


class CompletionUsage(msgspec.Struct, frozen=True):
    """Token usage of a run."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class CompletionChunk(msgspec.Struct, frozen=True):
    """One server-sent event of an engine."""

    id: str
    offset: int
    choices: tuple[CompletionChoice, ...]
    # Only on the last event.
    usage: CompletionUsage | None = None


class ServiceCall(msgspec.Struct, frozen=True):
    """Request body of a call to a plain service."""

    request_id: str
    body: str
    request_class: str = msgspec.field(name="class")


class ServiceResult(msgspec.Struct, frozen=True):
    """Response of a plain service."""

    request_id: str
    result: str


class TargetRejection(msgspec.Struct, frozen=True):
    """Response of a target that has not started the run."""

    error: str
    leaving: bool = False


class TargetLoad(msgspec.Struct, frozen=True):
    """Load reported by a target; out of date by the time it is read."""

    running: int
    waiting: int
    leaving: bool = False


chunk_decoder = msgspec.json.Decoder(CompletionChunk)
result_decoder = msgspec.json.Decoder(ServiceResult)
rejection_decoder = msgspec.json.Decoder(TargetRejection)
load_decoder = msgspec.json.Decoder(TargetLoad)
