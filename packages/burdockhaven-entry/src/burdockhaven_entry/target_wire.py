"""What targets send and get, as far as the daemon reads it."""

import msgspec


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of the call that starts a run at an engine."""

    model: str
    prompt: str
    max_tokens: int
    request_id: str
    stream: bool = True


class CompletionChoice(msgspec.Struct, frozen=True):
    """A piece of an answer."""

    text: str = ""
    token_count: int = 0
    # "stop" on the last piece, else None.
    finish_reason: str | None = None


class CompletionUsage(msgspec.Struct, frozen=True):
    """What a run has cost the engine, in tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class CompletionChunk(msgspec.Struct, frozen=True):
    """One server-sent event of an engine."""

    id: str
    offset: int
    choices: tuple[CompletionChoice, ...]
    # On the last event only.
    usage: CompletionUsage | None = None


class ServiceCall(msgspec.Struct, frozen=True):
    """Body of a call to a plain service."""

    request_id: str
    body: str
    request_class: str = msgspec.field(name="class")


class ServiceResult(msgspec.Struct, frozen=True):
    """A plain service's answer."""

    request_id: str
    result: str


class TargetRejection(msgspec.Struct, frozen=True):
    """A target's word that it has not started a run."""

    error: str
    leaving: bool = False


class TargetLoad(msgspec.Struct, frozen=True):
    """A target's word on its load, of some time ago."""

    running: int
    waiting: int
    leaving: bool = False


chunk_decoder = msgspec.json.Decoder(CompletionChunk)
result_decoder = msgspec.json.Decoder(ServiceResult)
rejection_decoder = msgspec.json.Decoder(TargetRejection)
load_decoder = msgspec.json.Decoder(TargetLoad)
