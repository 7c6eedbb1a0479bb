"""The platform's word: what it publishes, how it is read and passed on."""

from .doubt import StoreDoubt
from .item import NewsItem
from .reader import NewsReader
from .source import HistoryGone, NewsPage, NewsSource, SourceFailure
from .table import NewsTable

__all__ = [
    "HistoryGone",
    "NewsItem",
    "NewsPage",
    "NewsReader",
    "NewsSource",
    "NewsTable",
    "SourceFailure",
    "StoreDoubt",
]
