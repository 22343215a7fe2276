package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode

/**
 * Returns this host list in canonical form: one entry for each host, whatever the order of the list.
 *
 * Throws [IllegalArgumentException] if a host is listed twice, since one of its entries would be lost.
 */
public fun HostList.toContent(): ResourceContent {
    val entries = HashMap<String, String>()
    hosts.forEach { entries.put(HOST, it.host.value, HostEntry.serializer(), it) }
    require(entries.size == hosts.size) { "a host is listed twice" }
    return ResourceContent.of(ResourceKind.HOST_LIST, revision, entries)
}

/** Reads a host list, ordered by host, back from its canonical form; [validateHostList] checks its values. */
public fun ResourceContent.toHostList(): Result<HostList, List<DocumentFault>> {
    if (kind != ResourceKind.HOST_LIST) return refuse(ResultCode.DOCUMENT_UNREADABLE, "the content is not a host list")
    val reader = EntryReader(entries)
    val hosts = reader.readAll(HOST, HostEntry.serializer(), ::HostId)
    val faults = reader.finish() + hosts.filter { (id, entry) -> entry.host != id }.map { misplaced(it.key) }
    return if (faults.isEmpty()) Ok(HostList(version.number, hosts.values.sortedBy { it.host })) else Err(faults)
}

private fun misplaced(host: HostId): DocumentFault =
    DocumentFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, "$HOST/$host", "the entry describes another host")

private const val HOST = "host"
