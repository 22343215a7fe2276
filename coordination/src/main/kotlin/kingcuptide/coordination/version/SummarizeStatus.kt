package kingcuptide.coordination.version

import kingcuptide.coordination.connection.StatusRow
import kingcuptide.coordination.connection.StatusSample
import kingcuptide.coordination.process.HostId
import kotlin.time.Duration

/** Returns the summary of the complete [tally] of a fleet; [hosts] maps host keys to names. */
internal fun summarize(tally: StatusTally, hosts: Map<Int, HostId>, took: Duration): ConvergenceSummary {
    val rows = tally.rows()
    val newest = rows.maxOfOrNull { it.version } ?: 0
    val older = rows.filter { it.version < newest }
    return ConvergenceSummary(
        newestVersion = newest,
        inForce = if (newest > 0) rows.filter { it.version == newest }.sumOf { it.count } else 0,
        hosts = tally.total,
        rows = rows.map { VersionCount(it.failureDomain, it.version, it.count) },
        behind = older.flatMap { hostsBehind(it, hosts) }.sortedWith(LONGEST_FIRST).take(MAX_HOSTS_BEHIND),
        behindTotal = older.sumOf { it.count },
        unreachable = tally.unreachable().mapNotNull { hosts[it] },
        unreachableTotal = tally.unreachableTotal,
        tookMs = took.inWholeMilliseconds,
    )
}

private fun hostsBehind(row: StatusRow, hosts: Map<Int, HostId>): List<HostBehind> = row.samples.mapNotNull { sample ->
    val behindForMs = sample.behindForMs.takeIf { it != StatusSample.NO_NEWER_VERSION_KNOWN }
    hosts[sample.hostKey]?.let { HostBehind(it, row.version, behindForMs) }
}

private val LONGEST_FIRST = compareByDescending<HostBehind> { it.behindForMs ?: Long.MAX_VALUE }.thenBy { it.version }

private const val MAX_HOSTS_BEHIND = 32
