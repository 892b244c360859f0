"""
kingcupdyke_measure
~~~~~~~~~~~~~~~~~~~

Load runs, slopes and reports.
"""
