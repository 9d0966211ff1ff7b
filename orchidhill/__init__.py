"""orchidhill: the decisions of an admission gateway for a service sold by plan; `orchidhill.gateway` is the way in."""
