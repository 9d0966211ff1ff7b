"""hazelspring: a global load balancer.  Rooms move here one by one, under the field's names."""
