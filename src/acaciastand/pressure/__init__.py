"""Reaction of a host to surges: headroom, throttling, checkpointing and eviction."""

from acaciastand.pressure.headroom import HeadroomPolicy
from acaciastand.pressure.policy import EvictFirst, NoReaction, PressurePolicy
from acaciastand.pressure.region import RegionSurgeDetector
from acaciastand.pressure.staged import StagedPressure
from acaciastand.pressure.surge import SurgeDetector
from acaciastand.pressure.view import Action, ActionCause, ActionKind, HostView, TaskView
from acaciastand.pressure.weights import Weights

__all__ = [
    "Action",
    "ActionCause",
    "ActionKind",
    "EvictFirst",
    "HeadroomPolicy",
    "HostView",
    "NoReaction",
    "PressurePolicy",
    "RegionSurgeDetector",
    "StagedPressure",
    "SurgeDetector",
    "TaskView",
    "Weights",
]
