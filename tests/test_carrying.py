"""Orders that meet: rounds that end let others go on."""

from __future__ import annotations

from .test_control import settled_world


def test_a_round_that_is_dropped_before_its_promises_come_keeps_nobody_out() -> None:
    world = settled_world()
    world.put("d1", 6)
    core = world.doors["d1"].core
    assert core is not None and core.control.orders.round is not None
    core.control.orders.open.clear()  # as where what others tell settles an order at once
    world.deeds("d1", core.control.proceed(world.now))
    world.run(0.08)
    for name in ("d1", "d2", "d3", "d4"):
        member = world.doors[name].core
        assert member is not None and not member.control.busy(
            world.now, "d6", member.control.register.version
        )
    token = world.put("d6", 7)
    world.run(0.1)
    assert world.calls[token].good and not world.breaches
