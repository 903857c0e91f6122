"""The operators' library: declares a fleet in Python and prints it for review.

`Plan` collects the declarations and prints them as TOML. The command line
``almondspan`` submits the printed files.
"""

from almondspan.exit_codes import ExitCode
from almondspan.faults import FileFault, FileFaults
from almondspan.plan import Order, Plan

__all__ = ["ExitCode", "FileFault", "FileFaults", "Order", "Plan"]
