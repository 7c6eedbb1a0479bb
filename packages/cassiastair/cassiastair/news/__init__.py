"""The platform's word: what it publishes, how it is read and passed on."""

from .item import NewsItem
from .node import NewsNode
from .reader import NewsReader
from .source import HistoryGone, NewsPage, NewsSource, SourceFailure
from .table import NewsTable

__all__ = [
    "HistoryGone",
    "NewsItem",
    "NewsNode",
    "NewsPage",
    "NewsReader",
    "NewsSource",
    "NewsTable",
    "SourceFailure",
]
