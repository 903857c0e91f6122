"""Pure scheduling decisions: no I/O, no clock, no global random state.

Functions that need the time or randomness take it as an argument, so the same inputs
always give the same decision.
"""
