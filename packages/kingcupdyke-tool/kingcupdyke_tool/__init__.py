"""
kingcupdyke_tool
~~~~~~~~~~~~~~~~

The tool that operators use.
"""
