"""Pure scheduling decisions: no input or output, no clock, no global random.

Every function takes the time and a ``random.Random`` as arguments where it needs
them, so the same inputs always give the same decision.
"""
