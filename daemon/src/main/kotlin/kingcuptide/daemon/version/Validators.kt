package kingcuptide.daemon.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.mapError
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.version.DocumentFault
import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.ResourceFault
import kingcuptide.coordination.version.Snapshot
import kingcuptide.coordination.version.snapshotOf
import kingcuptide.coordination.version.toDocument
import kingcuptide.coordination.version.toHostList
import kingcuptide.coordination.version.validateHostList

/** Converts a document to the snapshot that requests use, or returns all its faults. */
internal fun validDocument(content: ResourceContent): Result<Snapshot, List<ResourceFault>> =
    content.toDocument().flatMap { snapshotOf(it) }.mapError { faults -> faults.map { it.toResourceFault() } }

/** Converts a content to a validated host list, or returns all its faults. */
internal fun validHostList(content: ResourceContent): Result<HostList, List<ResourceFault>> =
    content
        .toHostList()
        .flatMap { list -> validateHostList(list).let { faults -> if (faults.isEmpty()) Ok(list) else Err(faults) } }
        .mapError { faults -> faults.map { it.toResourceFault() } }

private fun DocumentFault.toResourceFault(): ResourceFault = ResourceFault(code, "$path: $reason")
