"""The learning step for the size of a lease, for every holder of leases; it keeps no state."""

import math

LEARN_RATE = 0.5  # AdaGrad step size on ln(batch)
STRAND_FLOOR = 0.5  # least penalty for stranded units, in counter calls: they always cost something


def step(
    size: float, squares: float, served: float, filled: float, price: float, base: float
) -> tuple[float, float]:
    """One AdaGrad step on ln b of orderCost*D/b + strandPenalty*b/2 (optimum sqrt(2*o*D/s)); returns ln b
    and the sum of squares.  `filled`: leased part of a window's `base`; stranding costs most at 1."""
    strand = max(STRAND_FLOOR * price, min(1.0, filled) ** 8)
    batch = math.exp(size)
    gradient = (strand * batch / 2 - price * served / batch) / price
    squares += gradient * gradient
    size -= LEARN_RATE * gradient / math.sqrt(squares) if squares else 0.0  # 0: starts at the optimum
    return min(max(size, 0.0), math.log(max(1.0, base))), squares
