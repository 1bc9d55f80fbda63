"""Text that may stand in an HTTP head, the same at the edge and between daemons.

What the edge lets through, every peer must take: a peer closes the link on a
value that it refuses, which would harm other requests.
"""

import re

is_header_value = re.compile(r"[\t\x20-\x7e\x80-\xff]*").fullmatch
is_visible_ascii = re.compile(r"[\x21-\x7e]+").fullmatch
