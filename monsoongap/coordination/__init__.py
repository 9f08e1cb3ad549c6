"""Coordination of the entry hosts and the runners that several of them can reach.

Path of a job: `host` forwards it to the owner of its share. There `jobs` accepts it,
`admission_control` rejects it if it cannot be done in time, and `steps` passes
its tasks to the `pool`. The pool starts each on the runner that `placement` chooses,
over a `link`.

Members and owners: `members` detects which hosts are live, `ownership` decides which of
them owns which share of a data centre's runners, and `coverage` whether an owner holds
all runners that a previous one used.

Capacity of other owners: `borrowing` sends tasks to owners that advertise free
capacity, `lending` runs the tasks of other owners, and `settling` makes sure that no
unknown run of a job is left.

Runners: `link` sends requests and polls under a fence, `lease` tracks leases on the
runner's clock, `runs` lists the runs of a runner, and `work` holds the shared types.
"""
