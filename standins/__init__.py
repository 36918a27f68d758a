"""Stand-ins for the platform services; not part of the product."""
