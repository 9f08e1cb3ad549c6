"""Sockets: the caller's HTTP server, worker connections, log, gRPC peers."""
