"""Requests and answers of a model engine."""

import msgspec

from burdockhaven_standins.faults import FaultControl


class Completion(msgspec.Struct, frozen=True):
    """A request for a streamed answer; one word of the prompt is one token."""

    request_id: str
    prompt: str = ""
    max_tokens: int = 16
    model: str = ""
    stream: bool = True


class Choice(msgspec.Struct, frozen=True):
    """The part of the answer that a chunk carries."""

    text: str
    # Tokens in the text.
    token_count: int
    finish_reason: str | None = None
    index: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Tokens of the whole run."""

    prompt_tokens: int
    completion_tokens: int
    # Prompt tokens found in the prefix cache.
    cached_tokens: int


class StreamChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of the stream; the last one has the usage."""

    id: str
    # Index of the first token in the chunk.
    offset: int
    choices: tuple[Choice, ...]
    usage: Usage | None = None


class Order(msgspec.Struct, frozen=True):
    """An order of a scheduler, such as to load a model or to change role."""

    order: str
    argument: str = ""
    # Grows with each holder of the right to give orders.
    fencing: int = 0


class EngineLoadReport(msgspec.Struct, frozen=True):
    """The load report, which lags."""

    running: int
    waiting: int
    leaving: bool


class EngineCounts(msgspec.Struct, frozen=True):
    """What the engine did so far."""

    # Submissions by run identity.
    submissions: dict[str, int]
    # Runs that were cancelled.
    cancelled: list[str]
    # Orders that were carried out, the oldest first.
    orders: list[Order]
    prefill_done_tokens: int
    prefill_wasted_tokens: int
    generated_tokens: int


class EngineControl(FaultControl, frozen=True, kw_only=True):
    """Faults and speed; None leaves one as it is."""

    # Factor on all times; 0 means that the engine is stuck.
    slowness: float | None = None
    # Identity of the run whose tokens stop.
    stall_run: str | None = None
    # Identity of the run whose tokens go on.
    continue_run: str | None = None
    # Break off every open stream.
    cut_streams: bool = False
    # Let every open stream go silent for good; new connections work.
    silence_streams: bool = False
    # Forget every run, as a restarted engine does.
    forget_runs: bool = False
