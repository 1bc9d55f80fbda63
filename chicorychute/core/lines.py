"""Characters allowed in an HTTP head, the same at the edge and between daemons.

Every peer must accept what the edge accepts: a peer that refuses a value closes
the link, which would affect the other requests on it.
"""

import re

is_header_value = re.compile(r"[\t\x20-\x7e\x80-\xff]*").fullmatch
is_visible_ascii = re.compile(r"[\x21-\x7e]+").fullmatch
