package kingcuptide.coordination.version

import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.connection.StatusRow
import kingcuptide.coordination.connection.StatusSample
import kingcuptide.coordination.process.FailureDomainId

/** Aggregates the replies of the hosts of one collection. Its lists are bounded, its counts are not. */
internal class StatusTally {
    private val counts = LinkedHashMap<RowKey, Int>()
    private val samples = HashMap<RowKey, MutableList<StatusSample>>()
    private val unreachable = mutableListOf<Int>()

    var unreachableTotal = 0
        private set

    /** Number of hosts that this tally accounts for. */
    val total: Int get() = counts.values.sum() + unreachableTotal

    fun add(rows: List<StatusRow>) {
        for (row in rows) {
            val key = rowKey(row)
            counts.merge(key, row.count, Int::plus)
            val kept = samples.getOrPut(key) { mutableListOf() }
            kept += row.samples.take(MAX_SAMPLES_PER_ROW - kept.size)
        }
    }

    fun addUnreachable(keys: List<Int>, total: Int = keys.size) {
        unreachableTotal += total
        unreachable += keys.take(MAX_UNREACHABLE - unreachable.size)
    }

    /** Returns the rows, oldest versions first, with at most [MAX_SAMPLES] samples in total. */
    fun rows(): List<StatusRow> {
        var remainingSamples = MAX_SAMPLES
        return counts.entries.sortedBy { it.key.version }.map { (key, count) ->
            val shown = samples[key].orEmpty().take(remainingSamples)
            remainingSamples -= shown.size
            StatusRow(key.failureDomain, key.version, count, shown)
        }
    }

    fun reply(part: Int, unresolved: List<Int>): StatusReply =
        StatusReply(part, rows(), unreachableTotal, unreachable.toList(), unresolved)

    fun unreachable(): List<Int> = unreachable.toList()

    /** Returns the key under which [row] is counted; when there are too many, the oldest versions share one row. */
    private fun rowKey(row: StatusRow): RowKey {
        val key = RowKey(row.failureDomain, row.version)
        if (key in counts || counts.size < MAX_ROWS) return key
        val oldest = counts.keys.filter { it.version != OTHER_VERSIONS }.minByOrNull { it.version }
        if (oldest == null || oldest.version >= row.version) return key.copy(version = OTHER_VERSIONS)
        foldIntoOtherVersions(oldest)
        return key
    }

    private fun foldIntoOtherVersions(key: RowKey) {
        val shared = key.copy(version = OTHER_VERSIONS)
        counts.merge(shared, counts.remove(key) ?: 0, Int::plus)
        samples.getOrPut(shared) { mutableListOf() } += samples.remove(key).orEmpty()
    }

    private data class RowKey(
        val failureDomain: FailureDomainId,
        val version: Long,
    )

    companion object {
        /** Version number of the rows that count all versions without a row of their own. */
        const val OTHER_VERSIONS = -1L
        private const val MAX_ROWS = 64
        private const val MAX_SAMPLES_PER_ROW = 8
        private const val MAX_SAMPLES = 48
        private const val MAX_UNREACHABLE = 48
    }
}

/** Returns the number of hosts that this reply accounts for. */
internal fun StatusReply.total(): Int = rows.sumOf { it.count } + unreachableTotal + unresolved.size
