"""Owns nothing: the step by which a lease's size is learned, for every holder of leases."""

import math

LEARN_RATE = 0.5  # AdaGrad step on ln(batch)
STRAND_FLOOR = 0.5  # least strand penalty, in counter calls: nothing is stranded for free


def step(
    size: float, slope: float, served: float, filled: float, price: float, base: float
) -> tuple[float, float]:
    """One AdaGrad step on ln b of orderCost*D/b + strandPenalty*b/2 (optimum sqrt(2*o*D/s)): the new ln b and sum
    of squared gradients.  `filled`: the part of the window's `base` that is leased; stranding is dear in a full one."""
    strand = max(STRAND_FLOOR * price, min(1.0, filled) ** 8)
    batch = math.exp(size)
    gradient = (strand * batch / 2 - price * served / batch) / price
    slope += gradient * gradient
    size -= LEARN_RATE * gradient / math.sqrt(slope) if slope else 0.0  # 0: at the optimum from the start
    return min(max(size, 0.0), math.log(max(1.0, base))), slope
