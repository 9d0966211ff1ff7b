"""The learning step for the size of a lease, for every holder of leases; it keeps no state."""

import math

LEARN_RATE = 0.5  # AdaGrad step size on ln(batch)
STRAND_FLOOR = 0.5  # least cost, in calls, of a stranded unit: leased, but not used in its window; never 0


def step(
    size: float, squares: float, served: float, filled: float, price: float, base: float
) -> tuple[float, float]:
    """One AdaGrad step on ln b for the cost o*D/b + s*b/2, whose optimum is sqrt(2*o*D/s): b is the batch,
    D `served`, o `price` and s the cost of a stranded unit, which is highest if `filled`, the leased part of
    a window's `base`, is 1.  Returns ln b and the sum of squares."""
    strand = max(STRAND_FLOOR * price, min(1.0, filled) ** 8)
    batch = math.exp(size)
    gradient = (strand * batch / 2 - price * served / batch) / price
    squares += gradient * gradient
    size -= LEARN_RATE * gradient / math.sqrt(squares) if squares else 0.0  # 0: starts at the optimum
    return min(max(size, 0.0), math.log(max(1.0, base))), squares
