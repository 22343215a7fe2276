package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.WorkspaceId

/**
 * A valid document, indexed for routing. A request uses the same snapshot until it ends.
 *
 * Immutable and therefore thread-safe.
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
     * [path] may have a query. Percent-encoded characters are decoded before the comparison, which is case-sensitive.
     */
    public fun match(method: String, path: String): RouteMatch = index.match(method, path)

    /** Returns the workspace, or null if it is not in the document. */
    public fun workspace(id: WorkspaceId): WorkspaceSpec? = document.workspaces[id]

    /** Whether operators have taken out [failureDomain]. */
    public fun isTakenOut(failureDomain: FailureDomainId): Boolean = failureDomain in document.takenOutFailureDomains
}

/** Returns the snapshot of [document], or all its faults; a snapshot has no broken reference. */
public fun snapshotOf(document: ConfigDocument): Result<Snapshot, List<DocumentFault>> {
    val faults = validateDocument(document)
    return if (faults.isEmpty()) Ok(Snapshot(document)) else Err(faults)
}
