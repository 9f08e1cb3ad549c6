"""A stand-in for the platform: log service, host list and workers."""
