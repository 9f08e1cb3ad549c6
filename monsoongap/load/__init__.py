"""Load generator: offers an open-loop load, reports results and checks promises."""
