"""Test the topics of the messages between hosts."""

from sesameport.entry import peer_topics


def test_no_two_kinds_of_messages_share_a_topic():
    # Guards against hosts that decode permits for cold servers as cached parts.
    topics = [
        value
        for name, value in vars(peer_topics).items()
        if name.isupper() and isinstance(value, bytes) and len(value) == 1
    ]
    assert len(topics) >= 12
    assert len(set(topics)) == len(topics)
    assert set(peer_topics.DECODERS) < set(topics)
