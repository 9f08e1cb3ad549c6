"""How the entry hosts act together over runners that several of them can reach.

A job's way: `host` finds the owner of its share and has it seen through there; `jobs`
takes it in, `admission_control` refuses what has no chance, `steps` brings its tasks to
the `pool`, which binds each to the runner that `placement` picks, held over a `link`.

Members and owners: `members` tells which hosts live, `ownership` which of them owns
which share of a data centre's runners.

Room of others: `borrowing` sends tasks to owners that told of room, `lending` runs
those of others, `settling` makes sure that nothing unknown is left of a job.

Runners: `link` orders and looks by a fence, `lease` counts time on the runner's
clock, `runs` keeps what runs there; `work` holds the types that all of them share.
"""
