"""The admission decisions, one module for each.  A module imports and calls only modules below it in this
list, and only the module that owns a state changes it (`records` lists the exceptions).

    attempts           open requests, their attempts and the queue            calls quotas, backend_selection, servers
    backend_selection  concurrency limits, selection of an alert server       calls servers
    quotas             customers' leases (GALE): admission                    calls call_rate, servers; its dispatcher
    call_rate          rate of counter calls                                  calls none
    servers            what is known about each alert server and the fleet    calls none
    records            types of the records: lease, backend, job
    sizing             the learning step for the size of leases
    context            the time, the settings and the actions of the current event

The steps of a request, each with the final answer that it may give:

    1  quotas.admit          too little time left, lease denied, or neither call nor local share      refused
    2  attempts.dispatch     queued while the fleet is at its limit, until `send_queued` sends it
    3  backend_selection.choose  the best of a few servers that the rules, limits and cold budgets allow
    4  attempts.send         an answer ends it; without one, `resend_unanswered` may send it again    served
    5  attempts.retry_or_end  failed: retried where class, cell and time allow, else `end`  refused or failed
    6  attempts.end_overdue  queued until it can't meet its aim or its time is nearly up   refused or failed
"""
