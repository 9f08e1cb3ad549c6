"""General helpers that any layer may import."""
