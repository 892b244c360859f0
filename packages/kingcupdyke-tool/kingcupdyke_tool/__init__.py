"""
kingcupdyke_tool
~~~~~~~~~~~~~~~~

The operators' command line tool.
"""
