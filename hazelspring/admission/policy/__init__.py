"""The decisions, a room each.  Imports and questions go down this list; a room alone writes its state
(`records` names the columns of rows that do not follow this).

    attempts   requests that are open, their attempts, what is held    asks quotas, choice, servers
    choice     the room at the servers, which one gets an attempt      asks servers
    quotas     customers' leases (GALE): who is let in                 asks pace, servers, its desk: attempts
    pace       how many counter calls may be made                      asks nobody
    servers    what is known of each alert server and of all           asks nobody
    records    the rows that rooms keep: lease, backend, job; whose they are
    sizing     the step by which the size of leases is learned
    turn       the time, the settings and the actions of the event at hand

What happens to a request, rung by rung; each has its final answer from the rung on which it stops:

    1  quotas.admit      too little time left, denied until the edge, or no call for it and no share   refused
    2  attempts.dispatch no room at the fleet: held in `queue`, sent by `pump` once there is some
    3  choice.choose     the best of a few servers that rules, room and cold budgets leave
    4  attempts.send     out: its answer ends it; silence brings a second attempt (`rescue`)           served
    5  attempts.further  failed: again where class, rack and time allow, else `end`         refused or failed
    6  attempts.hold     held past the point where it makes its aim, or until its time is nearly up    refused
"""
