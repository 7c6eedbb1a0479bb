"""Tests of the freezing of the heap and of the store of spans."""

import gc

from cassiastair.traces import Span, TraceContext
from testtools import TestCase

from .heap_freezer import HeapFreezer
from .trace_store import MAX_SPANS, TraceStore, encode_spans


class TestHeapFreezer(TestCase):
    """Freezing when the configuration grows."""

    def setUp(self):
        super().setUp()
        thresholds = gc.get_threshold()
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *thresholds)

    def test_freezes_at_the_start_and_after_growth(self):
        freezer = HeapFreezer()
        counts = [0, 10, 11, 12, 13, 13, 17]
        frozen = [freezer.freeze_if_grown(count) for count in counts]
        assert frozen == [True, True, False, False, True, False, True]
        assert gc.get_freeze_count() > 0


class TestTraceStore(TestCase):
    """Order, bound and garbage collection of stored spans."""

    def test_spans_are_ordered_by_start_and_the_oldest_are_dropped(self):
        store = TraceStore()
        root = TraceContext("a" * 32, "b" * 16)
        for number in range(MAX_SPANS + 10):
            context = root if number >= MAX_SPANS else TraceContext("c" * 32, "d" * 16)
            start = float(-number)
            store.record(Span(context, f"n{number}", start, 0.5, (("target", "t"),)))
        spans = store.find("a" * 32)
        assert [span.name for span in spans][0] == f"n{MAX_SPANS + 9}"
        assert len(spans) == 10
        assert encode_spans(spans)[0]["target"] == "t"
        assert len(store.find("c" * 32)) == MAX_SPANS - 10

    def test_stored_spans_are_not_tracked_by_the_collector(self):
        store = TraceStore()
        store.record(Span(TraceContext("a", "b"), "n", 0.0, 1.0, (("k", "v"),)))
        gc.collect()
        assert not gc.is_tracked(store._spans[0])
