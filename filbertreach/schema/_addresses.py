"""Addresses of processes, as other processes state them."""

import ipaddress

_MAX_PORT = 65535
_MAX_SHOWN_CHARACTERS = 80
"""Characters of an unusable address that its error shows."""


def parse_address(address: str) -> tuple[str, int]:
    """Splits ip:port.

    Args:
        address: For example 10.1.0.9:8104.

    Returns:
        IP address and port.

    Raises:
        ValueError: The text is not ip:port.
    """
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(_MAX_PORT))
    if not is_port or not 0 < int(port) <= _MAX_PORT or not _is_ip(host):
        shown = address[:_MAX_SHOWN_CHARACTERS]
        raise ValueError(f"address is {shown!r}; expected ip:port, port 1 to {_MAX_PORT}")
    return host, int(port)


def _is_ip(host: str) -> bool:
    """Returns whether a text is an IP address that can be connected to as it is."""
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError:
        return False
    # The zone of an IPv6 address names an interface of the host that wrote it.
    return not isinstance(parsed, ipaddress.IPv6Address) or parsed.scope_id is None


def base_url(address: str) -> str:
    """Returns the URL of the HTTP server at an address.

    Args:
        address: ip:port.

    Raises:
        ValueError: The text is not ip:port.
    """
    host, port = parse_address(address)
    return f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
