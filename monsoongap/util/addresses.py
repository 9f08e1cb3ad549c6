"""Addresses as settings and messages write them."""


def split_address(address: str) -> tuple[str, int]:
    """Part `IP:port`, brackets of an IPv6 number taken off; raises `ValueError`."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
