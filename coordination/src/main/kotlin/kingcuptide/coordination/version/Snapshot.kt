package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.WorkspaceId

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

    /** Returns the workspace, or null if the document does not have it. */
    public fun workspace(id: WorkspaceId): WorkspaceSpec? = document.workspaces[id]

    /** Whether operators have taken out [failureDomain]. */
    public fun isTakenOut(failureDomain: FailureDomainId): Boolean = failureDomain in document.takenOutFailureDomains
}

/** Builds the snapshot of [document], or returns its faults: a snapshot with a broken reference does not exist. */
public fun snapshotOf(document: ConfigDocument): Result<Snapshot, List<DocumentFault>> {
    val faults = validateDocument(document)
    return if (faults.isEmpty()) Ok(Snapshot(document)) else Err(faults)
}
