"""Sockets: HTTP connections, calls and heartbeats between hosts, operators."""
