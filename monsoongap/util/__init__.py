"""Small helpers without a place in any layer."""
