"""Body of an answer that no upstream gave."""

import json

from chicorychute.core.outcomes import REASON_SPECS, Outcome, Reason


def refusal_body(outcome: Outcome, reason: Reason, detail: str) -> bytes:
    """Return the JSON body of a refusal."""
    return json.dumps(
        {
            "outcome": outcome.value,
            "reason": reason.value,
            "detail": detail,
            "remedy": REASON_SPECS[reason].remedy,
        }
    ).encode()
