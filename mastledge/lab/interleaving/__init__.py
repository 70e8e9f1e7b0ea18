"""Orders of two concurrent events (`lab cross`): the program's own code, its peers and its time controlled.

At a place the program waits, and some steps are possible. Two of them are played in both orders, one after
the other and both at once, as a loop finds them that was busy for 0.15 s; then peers do what they usually do
until all is quiet, and the record is checked. docs/laboratory.md says more.
"""
