"""Which incomplete messages are dropped when they take too much memory together."""

import itertools

from filbertreach.receive_limits import MemoryBudget


class _Message:
    def __init__(self) -> None:
        self.is_evicted = False

    def on_evicted(self) -> None:
        self.is_evicted = True


def test_many_small_messages_are_bounded_together() -> None:
    # Guards against thousands of connections that each hold only as much as one may.
    memory = MemoryBudget(max_bytes=1_000_000)
    messages = [_Message() for _ in range(1000)]
    for message, size in itertools.product(messages, (1_000, 60_000)):
        if memory.resize(message, sender="a", byte_count=size):
            assert memory.held_bytes <= 1_000_000
    kept = [message for message in messages if not message.is_evicted]
    assert len(kept) <= 1_000


def test_a_faulty_sender_takes_no_memory_from_others() -> None:
    # Guards against large messages of sound senders that are dropped in place of endless ones.
    memory = MemoryBudget(max_bytes=1_000_000)
    endless = [_Message() for _ in range(12)]
    for message in endless:
        memory.resize(message, sender="faulty", byte_count=80_000)
    sound = _Message()
    for size in range(100_000, 500_000, 50_000):
        assert memory.resize(sound, sender="sound", byte_count=size)
    assert not sound.is_evicted
    assert any(message.is_evicted for message in endless)


def test_the_largest_message_of_the_largest_sender_is_dropped() -> None:
    memory = MemoryBudget(max_bytes=100)
    small, large, other = _Message(), _Message(), _Message()
    memory.resize(small, sender="a", byte_count=30)
    memory.resize(large, sender="a", byte_count=40)
    assert memory.resize(other, sender="b", byte_count=60)
    assert (small.is_evicted, large.is_evicted) == (False, True)
    assert memory.held_bytes == 90
    assert not memory.resize(other, sender="b", byte_count=80)
    memory.release(small)
    assert memory.held_bytes == 0
