import os

from burdockhaven_entry.bounded_output import PIPE_BYTES, BoundedOutput


def test_a_reader_that_stops_costs_lines_and_no_time():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    for _ in range(10_000):
        output.write("x" * 100 + "\n")
    assert output.dropped > 0
    os.read(reader, 1 << 20)
    output.write("again\n")
    told = os.read(reader, 1 << 20).decode().splitlines()
    assert f'"lines":{output.dropped}' in told[0]
    assert told[1] == "again"
    os.close(reader)
    os.close(writer)


def test_a_line_longer_than_a_pipe_takes_at_once_is_cut():
    reader, writer = os.pipe()
    BoundedOutput(writer).write("y" * 3 * PIPE_BYTES)
    got = os.read(reader, 1 << 20)
    assert len(got) == PIPE_BYTES
    assert got.endswith(b"...\n")
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_is_no_fault():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output.write("lost\n")
    assert output.dropped == 1
    os.close(writer)
