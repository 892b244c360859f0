"""
kingcupdyke_measure
~~~~~~~~~~~~~~~~~~~

Load runs, cost measurements by size (slopes), simulations in virtual time, and their reports.
"""
