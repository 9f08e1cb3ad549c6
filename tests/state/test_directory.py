"""Tests of the configuration and the runners that a host knows."""

import msgspec

from monsoongap.protocol.messages import Configuration, QueueRule, UpstreamRule
from monsoongap.state.directory import Directory


# Guards against 404 for a queue whose host name is configured with a capital.
def test_a_queue_is_found_whatever_the_case_of_its_host_name() -> None:
    queues = (
        QueueRule("upper", "Booking.Example", "/q/", "u", 1.5),
        QueueRule("lower", "booking.example", "/q/long/", "u", 1.5),
    )
    config = Configuration(1, queues, (UpstreamRule("u", True),))
    directory = Directory(
        lambda text: msgspec.json.decode(text, type=Configuration), lambda: None
    )
    assert directory.accept_text(msgspec.json.encode(config), "test")
    found = [
        directory.match("booking.example", path) for path in ("/q/a", "/q/long/a", "/b")
    ]
    assert [rule and rule.name for rule in found] == ["upper", "lower", None]
