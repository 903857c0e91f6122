"""The operators' library: declare a fleet in Python, print it, review it.

`Plan` collects the declarations. The command line ``almondspan`` submits what a
plan prints.
"""

from almondspan.exit_codes import ExitCode
from almondspan.faults import FileFault, FileFaults
from almondspan.plan import Order, Plan

__all__ = ["ExitCode", "FileFault", "FileFaults", "Order", "Plan"]
