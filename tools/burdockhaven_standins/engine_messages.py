"""Request and response messages of a model engine."""

import msgspec

from burdockhaven_standins.faults import FaultControl


class Completion(msgspec.Struct, frozen=True):
    """A completion request; each word of the prompt is one token."""

    request_id: str
    prompt: str = ""
    max_tokens: int = 16
    model: str = ""
    stream: bool = True


class Choice(msgspec.Struct, frozen=True):
    """The output tokens in one chunk."""

    text: str
    # Number of tokens in the text.
    token_count: int
    finish_reason: str | None = None
    index: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a completed run."""

    prompt_tokens: int
    completion_tokens: int
    # Prompt tokens that were in the prefix cache.
    cached_tokens: int


class StreamChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of the stream; only the last one has `usage`."""

    id: str
    # Index of the first token in the chunk.
    offset: int
    choices: tuple[Choice, ...]
    usage: Usage | None = None


class Order(msgspec.Struct, frozen=True):
    """A command from a scheduler, such as to load a model or to change the role."""

    order: str
    argument: str = ""
    # Fencing token: increases with each holder of the order lease.
    fencing: int = 0


class EngineLoadReport(msgspec.Struct, frozen=True):
    """Load report; it lags behind the actual load."""

    running: int
    waiting: int
    leaving: bool


class EngineCounts(msgspec.Struct, frozen=True):
    """Counts since the start of the engine."""

    # Submissions by run id.
    submissions: dict[str, int]
    # Ids of cancelled runs, oldest first.
    cancelled: list[str]
    # Orders that were executed, oldest first.
    orders: list[Order]
    prefill_done_tokens: int
    prefill_wasted_tokens: int
    generated_tokens: int


class EngineControl(FaultControl, frozen=True, kw_only=True):
    """Changes to faults and speed; None leaves a setting unchanged."""

    # Factor by which all times are multiplied; 0 means that the engine is stuck.
    slowness: float | None = None
    # Id of a run that stops generating tokens.
    stall_run: str | None = None
    # Id of a run that resumes generating tokens.
    continue_run: str | None = None
    # Cut every open stream.
    cut_streams: bool = False
    # Send nothing more on any open stream, without closing it; new connections work.
    silence_streams: bool = False
    # Drop every run, as a restart does.
    forget_runs: bool = False
