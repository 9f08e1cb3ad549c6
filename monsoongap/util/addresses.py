"""Network addresses in settings and messages."""


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port` into the IP, without the brackets of IPv6, and the port.

    Raise `ValueError` if the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
