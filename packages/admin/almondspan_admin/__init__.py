"""The administration API and the storage and distribution of the configuration."""
