"""Encode the messages between hosts as MessagePack envelopes."""

import zlib
from typing import Any

import msgspec

from sesameport.interfaces import Sender

__all__ = ["CodecError", "PeerCodec"]

COMPRESS_ABOVE_BYTES = 512
"""Smaller payloads gain little from compression; host lists and documents shrink to a
fraction of their size."""

MAX_MESSAGE_BYTES = 16_000_000
"""Maximum size of a decompressed payload. A document is up to 1 MB."""


class CodecError(ValueError):
    """Report a message that cannot be decoded."""


class _Envelope(msgspec.Struct, array_like=True):
    kind: str
    host: str
    incarnation: str
    data_centre: str
    sequence: int
    compressed: bool
    payload: bytes


class PeerCodec:
    """Encode and decode messages, which are attrs classes named by their class name."""

    def __init__(self, local: Sender):
        self._local = local
        self._sequence = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}
        self._types: dict[str, type] = {}

    def register(self, message_type: type) -> None:
        """Register a message class for decoding.

        Raises
        ------
        ValueError
            If another class with the same name is registered.
        """
        kind = message_type.__name__
        if self._types.setdefault(kind, message_type) is not message_type:
            raise ValueError(f"two message classes are named {kind}")
        self._decoders[kind] = msgspec.msgpack.Decoder(message_type)

    def encode(self, message: Any) -> bytes:
        """Return the encoded envelope of a message."""
        payload = self._encoder.encode(message)
        compressed = len(payload) > COMPRESS_ABOVE_BYTES
        if compressed:
            payload = zlib.compress(payload, level=1)
        self._sequence += 1
        local = self._local
        return self._encoder.encode(
            _Envelope(
                type(message).__name__,
                local.host,
                local.incarnation,
                local.data_centre,
                self._sequence,
                compressed,
                payload,
            )
        )

    def decode(self, data: bytes) -> tuple[Sender, Any]:
        """Return the sender and the message of an envelope.

        Raises
        ------
        CodecError
            If the data is malformed, too large or of an unknown kind.
        """
        try:
            envelope = self._envelope_decoder.decode(data)
            decoder = self._decoders.get(envelope.kind)
            if decoder is None:
                raise CodecError(f"unknown kind {envelope.kind!r}")
            message = decoder.decode(_decompress_payload(envelope))
        except (msgspec.MsgspecError, zlib.error) as exc:
            raise CodecError(str(exc)) from exc
        sender = Sender(envelope.host, envelope.incarnation, envelope.data_centre)
        return sender, message


def _decompress_payload(envelope: _Envelope) -> bytes:
    if not envelope.compressed:
        return envelope.payload
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(envelope.payload, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise CodecError(f"payload is above {MAX_MESSAGE_BYTES} bytes")
    return payload
