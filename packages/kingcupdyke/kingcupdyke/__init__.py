"""
kingcupdyke
~~~~~~~~~~~

Decisions of a serving system for many models, without input or output.
"""
