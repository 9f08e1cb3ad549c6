"""Stand-in for the users' platform: its store and runners, with injected faults."""
