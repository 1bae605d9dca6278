"""Tests of the bounded queue of log lines."""

import io
import threading

from rhubarbway.services import log
from rhubarbway.services.log import LineQueue


class TestLineQueue:
    def test_a_stalled_reader_blocks_nobody_and_dropped_lines_are_counted(self):
        """Guards against tasks that block, or memory that grows, while nobody reads the output."""
        queue = LineQueue(stream=io.StringIO())
        for number in range(log.MAX_QUEUED_LINES + 7):
            queue.write(f"{number}\n")
        assert (len(queue.lines), queue.dropped) == (log.MAX_QUEUED_LINES, 7)

    def test_all_lines_are_written_before_the_end(self):
        """Guards against the loss of lines that are queued when the process stops."""
        stream = io.StringIO()
        queue = LineQueue(stream=stream)
        task = threading.Thread(target=queue.run_writer)
        task.start()
        queue.write("one\n")
        queue.write("two\n")
        queue.stop()
        task.join(timeout=5)
        assert stream.getvalue() == "one\ntwo\n"
