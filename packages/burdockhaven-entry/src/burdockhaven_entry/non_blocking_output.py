"""Non-blocking log stream: drops lines instead of waiting for a slow reader."""

import os
import select

# Bytes that a writable pipe accepts in one write (PIPE_BUF of POSIX); longer lines are
# truncated to this length.
PIPE_BUF_BYTES = 4096
TRUNCATION_MARK = b"...\n"


class NonBlockingOutput:
    """A text stream that drops lines while its reader does not keep up."""

    def __init__(self, file_descriptor: int) -> None:
        self.file_descriptor = file_descriptor
        # Lines dropped since the start, and those of them not yet reported.
        self.dropped_lines = 0
        self.unreported = 0

    def write(self, text: str) -> int:
        """Write a line if the pipe has room for it; otherwise drop it."""
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
        """Do nothing: lines are not buffered."""

    def _try_write(self, data: bytes) -> bool:
        try:
            writable = select.select([], [self.file_descriptor], [], 0)[1]
            if not writable:
                return False
            os.write(self.file_descriptor, data)
        except OSError:
            # The reader closed the pipe. Requests must still be served, and there is
            # nowhere to report the failure.
            return False
        return True
