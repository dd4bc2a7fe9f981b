"""Decisions of an entry on where, whether and how often to send a request."""

from acaciastand.routing.budget import RetryBudget
from acaciastand.routing.chooser import LeastLoadedOfTwo, RandomChooser, TargetChooser
from acaciastand.routing.deadline import Deadline
from acaciastand.routing.health import TargetHealth
from acaciastand.routing.keys import BucketHomes, BucketName, bucket_of
from acaciastand.routing.retry import may_retry
from acaciastand.routing.router import Router
from acaciastand.routing.target import TargetView

__all__ = [
    "BucketHomes",
    "BucketName",
    "Deadline",
    "LeastLoadedOfTwo",
    "RandomChooser",
    "RetryBudget",
    "Router",
    "TargetChooser",
    "TargetHealth",
    "TargetView",
    "bucket_of",
    "may_retry",
]
