package kingcuptide.coordination.request

import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.process.ResultCode

/** Result of a claim of a key. */
public sealed interface KeyDecision {
    /** The request may run: call [KeyClaimer.begin] with [claim] immediately before its first byte is sent. */
    public data class Granted(
        val claim: ClaimId,
    ) : KeyDecision

    /**
     * The request must not run here.
     *
     * @property code [ResultCode.KEY_ALREADY_USED] if another claim holds the key and may have run, otherwise
     *   [ResultCode.KEY_NOT_GRANTED]
     * @property retryAfterMs delay after which the caller may retry with the same key; 0 if a retry is pointless
     * @property firstStatus HTTP status of the run that holds the key, or null if unknown
     */
    public data class Refused(
        val code: ResultCode,
        val retryAfterMs: Long,
        val firstStatus: Int? = null,
    ) : KeyDecision
}
