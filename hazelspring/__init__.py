"""hazelspring: a global load balancer."""
