"""Decide where and when requests run."""

from sesameport.routing.router import Expired, Placement, Router, RouterConfig

__all__ = ["Expired", "Placement", "Router", "RouterConfig"]
