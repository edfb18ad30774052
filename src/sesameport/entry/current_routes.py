"""Share the route table in force between the entry actor and the request threads."""

from sesameport.admission import RouteTable

__all__ = ["CurrentRoutes"]


class CurrentRoutes:
    """Hold the route table in force, so that request threads need no actor call."""

    def __init__(self):
        self.table: RouteTable | None = None
