"""Typed messages between almondspan's processes and the channels that carry them."""
