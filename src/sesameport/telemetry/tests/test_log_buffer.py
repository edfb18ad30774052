"""Test that logging never stops a request."""

import io
import json
import os
import time

from sesameport.telemetry.log_buffer import LogBuffer


def test_lines_reach_the_stream():
    stream = io.StringIO()
    buffer = LogBuffer(stream).start()
    buffer.write('{"a":1}\n')
    buffer.write('{"a":2}\n')
    buffer.close(2.0)
    assert stream.getvalue() == '{"a":1}\n{"a":2}\n'


def test_full_pipe_blocks_no_writer_and_the_loss_is_counted():
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream, os.fdopen(read_end) as reader:
        buffer = LogBuffer(stream, max_lines=100).start()
        started = time.monotonic()
        line = "x" * 1_000 + "\n"
        for _ in range(20):
            for _ in range(200):
                buffer.write(line)
            time.sleep(0.02)
        assert time.monotonic() - started < 1.5
        assert buffer.dropped > 0
        # Once somebody reads again, the loss is told in a line of its own.
        found = []
        while not found:
            text = reader.readline()
            if text.startswith("{"):
                found.append(json.loads(text))
        assert found[0]["count"] > 0
