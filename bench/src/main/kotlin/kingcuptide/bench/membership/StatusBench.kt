package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Liveness
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Measures status queries of a fleet of [hosts] hosts: duration, messages and bytes. */
class StatusBench(
    private val hosts: Int,
    private val seed: Long,
    private val print: (String) -> Unit,
) {
    fun run() {
        measure("healthy") { }
        measure("dead_known_2") { fleet -> kill(fleet, fleet.sample(2), Liveness.DEAD) }
        measure("dead_unknown_2_percent") { fleet -> kill(fleet, fleet.sample(maxOf(1, hosts / 50)), Liveness.ALIVE) }
        measure("domain_dead_unknown") { fleet -> kill(fleet, fleet.domainNodes(), Liveness.ALIVE) }
        measure("region_cut") { fleet -> fleet.network.cut = { from, to -> from.region != to.region } }
        measure("loss_5_percent") { fleet -> fleet.network.lossShare = LOSS_SHARE }
    }

    private fun measure(case: String, fault: (StatusFleet) -> Unit) {
        val tookMs = mutableListOf<Long>()
        var messages = 0L
        var bytes = 0L
        var crossRegion = 0L
        var greatestMessageBytes = 0
        var wrongSums = 0
        repeat(QUERIES) { number ->
            val fleet = StatusFleet(FleetShape(hosts), seed + number)
            fault(fleet)
            fleet.time.run(1.seconds)
            val summary = fleet.queryAndRun(fleet.nodes.first(), QUERY_LIMIT).single()
            tookMs += summary.tookMs
            messages += fleet.messages
            bytes += fleet.bytes
            crossRegion += fleet.crossRegionBytes
            greatestMessageBytes = maxOf(greatestMessageBytes, fleet.greatestMessageBytes)
            if (summary.hosts != hosts) wrongSums++
        }
        tookMs.sort()
        print(
            "status hosts=$hosts case=$case queries=$QUERIES p50_ms=${tookMs[QUERIES / 2]} max_ms=${tookMs.last()} " +
                "target_ms=2000 messages_per_query=${messages / QUERIES} bytes_per_query=${bytes / QUERIES} " +
                "cross_region_bytes_per_query=${crossRegion / QUERIES} greatest_message_bytes=$greatestMessageBytes " +
                "wrong_sums=$wrongSums",
        )
    }

    private fun kill(fleet: StatusFleet, victims: List<StatusNode>, knownLiveness: Liveness) {
        val gone: Set<HostId> = victims.mapTo(HashSet()) { it.self.host }
        victims.forEach { it.running = false }
        fleet.nodes.forEach { node -> gone.forEach { node.knownLiveness[it] = knownLiveness } }
    }

    private fun StatusFleet.sample(count: Int): List<StatusNode> = nodes.drop(1).shuffled(Random(seed)).take(count)

    private fun StatusFleet.domainNodes(): List<StatusNode> =
        nodes.filter { it.self.failureDomain == nodes[1].self.failureDomain }

    private companion object {
        const val QUERIES = 20
        const val LOSS_SHARE = 0.05
        val QUERY_LIMIT = 3.seconds
    }
}
