"""Small stand-ins of the platform for tests and trials; not part of the product."""
