"""Network addresses in settings and messages, without host names.

A host name would be looked up, which blocks the process.
"""

# `\Z` and not `$`, which allows a line break at the end.
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = rf"({_OCTET}\.){{3}}{_OCTET}"
_IPV6 = r"[0-9a-fA-F:.]*:[0-9a-fA-F:.]*"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)
IP_PATTERN = rf"^({_IPV4}|{_IPV6})\Z"
ADDRESS_PATTERN = rf"^({_IPV4}|\[{_IPV6}\]):{_PORT}\Z"


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port` into the IP, without the brackets of IPv6, and the port.

    Raise `ValueError` if the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)
