"""Random histories that check that lasting tasks have runs; see ``monitor``.

``python -m tests.lasting.search --first 1 --seeds 500`` searches by hand.
"""
