"""Body of a refusal, which the daemon sends in place of an upstream's answer."""

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
