package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.TenantId

/**
 * A valid document in the form in which requests use it. A request takes one snapshot and keeps it to its end.
 *
 * Immutable, so safe to use from any thread.
 */
public class Snapshot internal constructor(
    public val document: ConfigDocument,
) {
    private val index = RouteIndex.of(document)

    /** The number of the version. */
    public val version: Long get() = document.version

    /**
     * Finds the route with the longest prefix of [path], by whole segments, among those that allow [method].
     *
     * [path] may carry a query. Escapes are decoded for the comparison, which is by exact letters.
     */
    public fun match(method: String, path: String): RouteMatch = index.match(method, path)

    /** Returns the tenant, or null if the document does not have it. */
    public fun tenant(id: TenantId): TenantSpec? = document.tenants[id]

    /**
     * Returns where a request of [tenant] on [route] may be: the regions that both allow.
     *
     * Either one alone restricts if the other does not. The result is nowhere if they exclude each other, and for a
     * route or tenant that the document does not have.
     */
    public fun homeRegions(route: RouteId, tenant: TenantId?): HomeRegions {
        val routeHome = document.routes[route]?.let { homeRegionsOf(it.homeRegions) } ?: return NOWHERE
        if (tenant == null) return routeHome
        val tenantHome = document.tenants[tenant]?.let { homeRegionsOf(it.homeRegions) } ?: return NOWHERE
        return routeHome.intersect(tenantHome)
    }

    /** Whether operators have taken out [failureDomain]. */
    public fun isTakenOut(failureDomain: FailureDomainId): Boolean = failureDomain in document.takenOutFailureDomains

    private companion object {
        val NOWHERE = HomeRegions.Only(emptySet())
    }
}

/** Builds the snapshot of [document], or returns its faults: a snapshot with a broken reference does not exist. */
public fun snapshotOf(document: ConfigDocument): Result<Snapshot, List<DocumentFault>> {
    val faults = validateDocument(document)
    return if (faults.isEmpty()) Ok(Snapshot(document)) else Err(faults)
}
