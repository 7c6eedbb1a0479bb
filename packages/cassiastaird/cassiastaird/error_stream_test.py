"""Tests of the replacement of standard error."""

import sys
import traceback

from testtools import TestCase

from .error_stream import MAX_TEXT_CHARACTERS, ErrorStream


class TestErrorStream(TestCase):
    """Texts that are logged."""

    def setUp(self):
        super().setUp()
        self.texts = []
        self.stream = ErrorStream(self.texts.append)

    def test_a_traceback_is_one_text(self):
        try:
            raise ZeroDivisionError("of a task")
        except ZeroDivisionError:
            traceback.print_exception(*sys.exc_info(), file=self.stream)
        self.stream.flush()
        (text,) = self.texts
        assert text.startswith("Traceback")
        assert text.endswith("ZeroDivisionError: of a task")

    def test_a_blank_text_is_not_logged(self):
        print(file=self.stream, flush=True)
        assert self.texts == []

    def test_the_end_of_a_long_text_is_kept(self):
        for number in range(2 * MAX_TEXT_CHARACTERS):
            self.stream.write("x" if number else "start")
        self.stream.write("end")
        self.stream.flush()
        assert len(self.texts[0]) == MAX_TEXT_CHARACTERS
        assert self.texts[0].endswith("xend")
