"""Who leads, and who places for which team.

A controller's presence and the leader's key hang on one lease each controller keeps. The term
record is changed by compare-and-set; its number is the epoch that workers see. Whether this
controller leads is read off the mirror, never remembered from a commit's answer: a commit
whose answer was lost counts once the watch shows it.
"""
