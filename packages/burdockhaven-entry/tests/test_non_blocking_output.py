import os

from burdockhaven_entry.non_blocking_output import PIPE_BUF_BYTES, NonBlockingOutput


def test_stalled_reader_loses_lines_without_blocking_writer():
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer)
    for _ in range(10_000):
        output.write("x" * 100 + "\n")
    assert output.dropped_lines > 0
    os.read(reader, 1 << 20)
    output.write("again\n")
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert f'"lines":{output.dropped_lines}' in lines[0]
    assert lines[1] == "again"
    os.close(reader)
    os.close(writer)


def test_line_longer_than_pipe_buf_is_truncated():
    reader, writer = os.pipe()
    NonBlockingOutput(writer).write("y" * 3 * PIPE_BUF_BYTES)
    received = os.read(reader, 1 << 20)
    assert len(received) == PIPE_BUF_BYTES
    assert received.endswith(b"...\n")
    os.close(reader)
    os.close(writer)


def test_closed_reader_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    output = NonBlockingOutput(writer)
    output.write("lost\n")
    assert output.dropped_lines == 1
    os.close(writer)
