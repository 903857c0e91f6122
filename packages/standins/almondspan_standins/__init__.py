"""Small stand-ins of the platform, shipped apart from the product."""
