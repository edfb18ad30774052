"""Decode the evacuations of data centres in the users' store."""

from result import Err, Ok, Result

__all__ = ["EVACUATION_KIND", "decode_evacuation"]

EVACUATION_KIND = "evacuations"


def decode_evacuation(name: str, value: bytes) -> Result[str, str]:
    """Return the data centre of a stored evacuation, or an Err with the reason.

    The name of the object is the data centre. Its value has no meaning and may be
    anything, also bytes that are no JSON.
    """
    return Ok(name) if name else Err("the evacuation has no name")
