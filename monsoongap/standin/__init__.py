"""A stand-in for the users' platform: its store and its runners, with faults."""
