package kingcuptide.coordination.request

import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.process.ResultCode

/** How the claim of a key ended. */
public sealed interface KeyDecision {
    /** The request may run: call [KeyClaimer.begin] with [claim] immediately before the first byte. */
    public data class Granted(
        val claim: ClaimId,
    ) : KeyDecision

    /**
     * The request must not run here.
     *
     * @property code [ResultCode.KEY_ALREADY_USED] if another claim holds the key and may have run, otherwise
     *   [ResultCode.KEY_NOT_GRANTED]
     * @property retryAfterMs when the same key is worth sending again; 0 if it is not
     * @property firstStatus HTTP status of the run that holds the key, or null if it is not known
     */
    public data class Refused(
        val code: ResultCode,
        val retryAfterMs: Long,
        val firstStatus: Int? = null,
    ) : KeyDecision
}
