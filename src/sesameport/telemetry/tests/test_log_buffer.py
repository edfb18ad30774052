"""Check that logging never blocks a request."""

import io
import json
import os
import time

from sesameport.telemetry.log_buffer import LogBuffer


def test_close_writes_the_buffered_lines():
    stream = io.StringIO()
    buffer = LogBuffer(stream).start()
    buffer.write('{"a":1}\n')
    buffer.write('{"a":2}\n')
    buffer.close(2.0)
    assert stream.getvalue() == '{"a":1}\n{"a":2}\n'


def test_full_pipe_blocks_no_writer_and_dropped_lines_are_counted():
    """Guard against a write that blocks a request while the pipe is not read."""
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
        assert buffer.dropped_lines > 0
        # Once the pipe is read again, a separate line reports the dropped lines.
        reports = []
        while not reports:
            text = reader.readline()
            if text.startswith("{"):
                reports.append(json.loads(text))
        assert reports[0]["count"] > 0
