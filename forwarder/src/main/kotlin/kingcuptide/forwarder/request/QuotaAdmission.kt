package kingcuptide.forwarder.request

import kingcuptide.coordination.request.quota.QuotaDecision
import kingcuptide.coordination.version.Workspace
import kotlin.time.Duration

/** Decides whether requests are within the quotas of their workspaces. Used on the event loop. */
interface QuotaAdmission {
    /** Decides on a request of [workspace] that can wait for up to [maxWait]; suspends while it waits. */
    suspend fun acquire(workspace: Workspace, maxWait: Duration): QuotaDecision

    /** Returns the credit of a request of [workspace] that was allowed and has not run. */
    fun giveBack(workspace: Workspace)

    /** Allows all requests. */
    object Unlimited : QuotaAdmission {
        override suspend fun acquire(workspace: Workspace, maxWait: Duration): QuotaDecision = QuotaDecision.Allowed

        override fun giveBack(workspace: Workspace) = Unit
    }
}
