"""Writes log lines to a pipe without ever waiting for its reader."""

import os
import select

# Bytes that a writable pipe takes at once (POSIX); longer lines are cut to it.
PIPE_BYTES = 4096
CUT_MARK = b"...\n"


class BoundedOutput:
    """A text stream that drops lines while the reader does not keep up."""

    def __init__(self, file_number: int) -> None:
        self.file_number = file_number
        # Lines dropped since the start, and of these the ones not told yet.
        self.dropped = 0
        self.untold = 0

    def write(self, text: str) -> int:
        """Write a line if there is room for it now; drop it otherwise."""
        data = text.encode()
        if len(data) > PIPE_BYTES:
            data = data[: PIPE_BYTES - len(CUT_MARK)] + CUT_MARK
        if self.untold:
            note = f'{{"event":"LINES_DROPPED","fields":{{"lines":{self.untold}}}}}\n'
            if self._put(note.encode()):
                self.untold = 0
        if not self._put(data):
            self.dropped += 1
            self.untold += 1
        return len(text)

    def flush(self) -> None:
        """Nothing is held back."""

    def _put(self, data: bytes) -> bool:
        try:
            writable = select.select([], [self.file_number], [], 0)[1]
            if not writable:
                return False
            os.write(self.file_number, data)
        except OSError:
            # The reader is gone; requests go on, and nobody is left to be told.
            return False
        return True
