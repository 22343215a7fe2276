package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode

/** Receives a count for each refusal, retry and cut; the daemon binds it to its metrics. Must be thread-safe. */
public interface RequestCounters {
    /** The gate refused a request with [code]. */
    public fun gateRefused(code: ResultCode) {}

    /** The entry found no target, or refused before it looked for one. */
    public fun entryRefused(code: ResultCode) {}

    /** The entry tries another target because the last attempt ended with [code]. */
    public fun retried(code: ResultCode) {}

    /** The entry gives up for [reason]; the last attempt ended with [code]. */
    public fun gaveUp(reason: GiveUpReason, code: ResultCode) {}

    /** The gate lowered its limit for [reason]. */
    public fun limitCut(reason: LimitCutReason) {}

    /** The entry set a host aside. */
    public fun hostEjected() {}

    /** A fingerprint changed to [verdict] in this daemon. */
    public fun verdictChanged(verdict: Verdict) {}

    public companion object {
        /** Counts nothing. */
        public val NONE: RequestCounters = object : RequestCounters {}
    }
}
