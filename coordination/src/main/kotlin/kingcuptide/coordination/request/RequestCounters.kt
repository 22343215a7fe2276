package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode

/** Counts refusals, retries and limit cuts; the daemon implements it with its metrics. Must be thread-safe. */
public interface RequestCounters {
    /** The gate refused a request with [code]. */
    public fun gateRefused(code: ResultCode) {}

    /** The entry refused a request with [code]: it found no target, or refused before it chose one. */
    public fun entryRefused(code: ResultCode) {}

    /** The entry retries at another target because the last attempt ended with [code]. */
    public fun retried(code: ResultCode) {}

    /** The entry gave up a request for [reason]; the last attempt ended with [code]. */
    public fun gaveUp(reason: GiveUpReason, code: ResultCode) {}

    /** The gate lowered its limit for [reason]. */
    public fun limitCut(reason: LimitCutReason) {}

    /** The entry ejected a host. */
    public fun hostEjected() {}

    /** This daemon's verdict on a fingerprint changed to [verdict]. */
    public fun verdictChanged(verdict: Verdict) {}

    public companion object {
        /** Counts nothing. */
        public val NONE: RequestCounters = object : RequestCounters {}
    }
}
