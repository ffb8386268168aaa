"""Leader election, and the assignment of teams to controllers.

Each controller keeps one lease, to which its presence record and, while it leads, the leader's
key are attached. The term record is changed by compare-and-set; its number is the term that
workers see. Whether this controller leads is read from the mirror, never concluded from the answer
to a commit: a commit whose answer was lost counts once the watch shows it.
"""
