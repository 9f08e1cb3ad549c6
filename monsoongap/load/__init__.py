"""The load tool: an open loop of jobs, a report, and a check of every promise."""
