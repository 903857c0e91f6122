"""The administration API and the relay of the configuration."""
