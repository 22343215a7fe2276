package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.FailureDomainSpec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

internal class WitnessViewTest {
    private val domains = (1..7).associate {
        FailureDomainId("d$it") to FailureDomainSpec(RegionId(if (it <= 4) "north" else "south"))
    }
    private val entries = (1..70).map { hostEntry("h$it", "d${it % 7 + 1}", if (it % 7 < 4) "north" else "south") }
    private val keys = (1..500).map { keyHash(WorkspaceId("t"), RouteId("r"), "key$it") }

    private fun domainOf(host: HostId?) = entries.first { it.host == host }.failureDomain

    private fun view(hosts: List<HostEntry> = entries) =
        witnessView(HostList(1, hosts), domains)

    @Test
    fun `Given enough failure domains, when witnesses are derived, then each is in its own`() {
        for (key in keys) {
            expectThat(view().witnesses(key, emptySet()).map(::domainOf).toSet()).hasSize(WITNESS_SLOTS)
        }
    }

    @Test
    fun `Given home regions, when witnesses are derived, then all are in those regions`() {
        for (key in keys) {
            val regions = view().witnesses(key, setOf(RegionId("south"))).map { domains.getValue(domainOf(it)).region }
            expectThat(regions.toSet()).isEqualTo(setOf(RegionId("south")))
        }
    }

    @Test
    fun `Given a home region of one failure domain, when witnesses are derived, then they are three hosts of it`() {
        val oneDomain = witnessView(HostList(1, entries), domains.filterKeys { it.value in setOf("d1", "d5") })
        for (key in keys) {
            expectThat(
                oneDomain.witnesses(key, setOf(RegionId("south"))).filterNotNull().toSet(),
            ).hasSize(WITNESS_SLOTS)
        }
    }

    @Test
    fun `Given a failure domain without listed hosts, when derived, then its slot is empty and no other changes`() {
        val remaining = view(entries.filter { it.failureDomain.value != "d2" })
        for (key in keys) {
            val expected = view().witnesses(key, emptySet()).map { host -> host.takeIf { domainOf(it).value != "d2" } }
            expectThat(remaining.witnesses(key, emptySet())).isEqualTo(expected)
        }
    }

    @Test
    fun `Given a host that leaves the list, when derived, then only keys that it witnessed change, in one slot`() {
        val removed = entries.first()
        val remaining = view(entries - removed)
        for (key in keys) {
            val before = view().witnesses(key, emptySet())
            val after = remaining.witnesses(key, emptySet())
            val changed = before.zip(after).count { (old, new) -> old != new }
            expectThat(changed).isEqualTo(if (removed.host in before) 1 else 0)
        }
    }

    @Test
    fun `Given many keys, when witnesses are derived, then no host has more than four times its share`() {
        val load = keys.flatMap { view().witnesses(it, emptySet()) }.groupingBy { it }.eachCount()

        expectThat(load.values.max()).isLessThan(4 * WITNESS_SLOTS * keys.size / entries.size)
    }

    @Test
    fun `Given workspace, route and key, when any differs, then the hash differs`() {
        val hash = keyHash(WorkspaceId("t"), RouteId("r"), "k")

        expectThat(hash.length).isEqualTo(32)
        expectThat(hash).isNotEqualTo(keyHash(WorkspaceId("u"), RouteId("r"), "k"))
        expectThat(hash).isNotEqualTo(keyHash(WorkspaceId("t"), RouteId("s"), "k"))
        expectThat(hash).isNotEqualTo(keyHash(WorkspaceId("t"), RouteId("r"), "l"))
    }
}
