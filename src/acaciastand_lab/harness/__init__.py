"""Small model of the served systems on a fake clock, in which the real decision modules run.

It is no cluster simulator: there are hosts with slots and batch tasks, links with a fixed latency,
and arrivals. See `acaciastand_lab.harness.experiment` for how an experiment is declared.
"""

from acaciastand_lab.harness.arrivals import Arrival, poisson_arrivals, recorded_arrivals
from acaciastand_lab.harness.clock import EventQueue
from acaciastand_lab.harness.experiment import REGISTRY, Experiment, register
from acaciastand_lab.harness.firms import BLUE_MAHOE, MAISON_REPRISE, Firm
from acaciastand_lab.harness.host import HostModel, InterferenceTable, LateMeasurement
from acaciastand_lab.harness.statistics import Latencies, Spread

__all__ = [
    "BLUE_MAHOE",
    "MAISON_REPRISE",
    "REGISTRY",
    "Arrival",
    "EventQueue",
    "Experiment",
    "Firm",
    "HostModel",
    "InterferenceTable",
    "LateMeasurement",
    "Latencies",
    "Spread",
    "poisson_arrivals",
    "recorded_arrivals",
    "register",
]
