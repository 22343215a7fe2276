package kingcuptide.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kingcuptide.coordination.version.KeyDigest
import kingcuptide.coordination.version.KeyLookup
import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.WorkspaceKey
import kingcuptide.coordination.version.Workspaces
import java.lang.ref.Reference
import kotlin.random.Random

/** Measures the time and memory of looking up API keys, for numbers of keys that differ by a factor of 1,000. */
class ApiKeysCommand : CliktCommand("api-keys") {
    private val seed by option("--seed", help = "Seed of the keys").long().default(1)
    private val rounds by option("--rounds", help = "Look-ups of each measurement").int().default(1_000_000)

    override fun run() {
        measure(WARM_UP_KEYS)
        for (keyCount in listOf(10, 100, 1_000, 10_000)) echo(measure(keyCount))
    }

    private fun measure(keyCount: Int): String {
        val random = Random(seed)
        val keys = List(keyCount) { "%032x".format(random.nextLong()) }
        val unknown = List(keyCount) { "%032x".format(random.nextLong()) }
        val spaces = List(WORKSPACES) { Workspace("workspace-$it", null, 0.0, 0.0, emptySet()) }
        val digestStartedAt = System.nanoTime()
        val digests = keys.mapIndexed { index, key -> WorkspaceKey(KeyDigest.of(key), spaces[index % WORKSPACES]) }
        val digestUs = (System.nanoTime() - digestStartedAt) / NS_PER_US
        val before = usedBytes()
        val copies = List(COPIES) { Workspaces(spaces, digests) }
        val bytes = (usedBytes() - before) / COPIES
        val workspaces = copies.first()
        // The digests must be reachable in both measurements, or the second one lacks them.
        Reference.reachabilityFence(digests to copies)
        measureNs(workspaces, keys)
        val foundNs = measureNs(workspaces, keys)
        measureNs(workspaces, unknown)
        val unknownNs = measureNs(workspaces, unknown)
        return "keys=${workspaces.keyCount} seed=$seed found_ns=$foundNs unknown_ns=$unknownNs table_bytes=$bytes " +
            "digest_all_us=$digestUs"
    }

    private fun measureNs(workspaces: Workspaces, keys: List<String>): Long {
        val headers = keys.map { listOf("Bearer $it") }
        var found = 0
        val startedAt = System.nanoTime()
        repeat(rounds) { if (workspaces.find(headers[it % headers.size]) is KeyLookup.Found) found++ }
        val perRoundNs = (System.nanoTime() - startedAt) / rounds
        check(found == 0 || found == rounds) { "$found of $rounds keys were found" }
        return perRoundNs
    }

    private fun usedBytes(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private companion object {
        const val WORKSPACES = 77

        /** Tables of which the mean size is measured, as the heap also changes by other things. */
        const val COPIES = 32
        const val WARM_UP_KEYS = 1_000
        const val NS_PER_US = 1_000L

        /** A single collection may leave objects whose references were just cleared. */
        const val GC_ROUNDS = 3
    }
}
