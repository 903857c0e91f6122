"""Importing this module registers every adapter of this package."""

from almondspan_platform import etcd_json, http_json

__all__ = ["etcd_json", "http_json"]
