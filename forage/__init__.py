"""forage: a request's way through a door: who may ask, where it goes, further tries, what is given up."""
