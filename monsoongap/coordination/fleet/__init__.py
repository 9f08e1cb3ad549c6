"""How the entry hosts act together over runners that several of them can reach.

`members` tells which hosts live. `ownership` decides who owns the runners of a
data centre. `link` holds one runner by a fence and a lease and knows what runs on
it. `pool` places waiting tasks on held runners or lends them to another owner.
`jobs` sees a job through from its submission to its one answer, at the owner of
the data centre it arrived in; `host` puts the parts of one process together.
"""
