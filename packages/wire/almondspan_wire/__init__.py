"""Typed messages and streams between almondspan's own processes."""
