"""Writes log lines to a pipe without ever waiting for its reader."""

import os
import select

# Bytes that a writable pipe takes at once (POSIX); longer lines are cut to it.
PIPE_BUF_BYTES = 4096
TRUNCATION_MARK = b"...\n"


class NonBlockingOutput:
    """A text stream that drops lines while the reader does not keep up."""

    def __init__(self, file_descriptor: int) -> None:
        self.file_descriptor = file_descriptor
        # Lines dropped since the start, and of these the ones not told yet.
        self.dropped_lines = 0
        self.unreported = 0

    def write(self, text: str) -> int:
        """Write a line if there is room for it now; drop it otherwise."""
        data = text.encode()
        if len(data) > PIPE_BUF_BYTES:
            data = data[: PIPE_BUF_BYTES - len(TRUNCATION_MARK)] + TRUNCATION_MARK
        if self.unreported:
            report = (
                f'{{"event":"LINES_DROPPED","fields":{{"lines":{self.unreported}}}}}\n'
            )
            if self._try_write(report.encode()):
                self.unreported = 0
        if not self._try_write(data):
            self.dropped_lines += 1
            self.unreported += 1
        return len(text)

    def flush(self) -> None:
        """Nothing is held back."""

    def _try_write(self, data: bytes) -> bool:
        try:
            writable = select.select([], [self.file_descriptor], [], 0)[1]
            if not writable:
                return False
            os.write(self.file_descriptor, data)
        except OSError:
            # The reader is gone; requests go on, and nobody is left to be told.
            return False
        return True
