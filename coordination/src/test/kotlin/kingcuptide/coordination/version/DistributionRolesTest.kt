package kingcuptide.coordination.version

import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

internal class DistributionRolesTest {
    private val names = ListedFleet(DOMAINS, HOSTS_PER_DOMAIN).hostList.hosts.map { it.host.value }

    private fun rolesOf(
        name: String,
        dead: Set<HostId> = emptySet(),
        region: (Int) -> String = { "r" },
    ): DistributionRoles {
        val fleet = ListedFleet(DOMAINS, HOSTS_PER_DOMAIN, selfName = name, region = region)
        fleet.dead += dead
        return DistributionRoles(fleet, TEST_SETTINGS)
    }

    private fun readers(number: Long, dead: Set<HostId> = emptySet()): List<String> =
        names.filter { rolesOf(it, dead).isReader(ResourceKind.DOCUMENT, number) }

    @Test
    fun `Given one host list, when all daemons compute their role, then two of each failure domain are readers`() {
        val readers = readers(1)
        expectThat(readers.groupingBy { it.first() }.eachCount()).isEqualTo(mapOf('a' to 2, 'b' to 2, 'c' to 2))
    }

    @Test
    fun `Given a dead reader, when the others compute their role, then only one of its failure domain replaces it`() {
        val before = readers(1)
        val after = readers(1, dead = setOf(HostId(before.first()))) - before.first()
        expectThat(after).hasSize(before.size)
        expectThat(before - before.first() - after.toSet()).isEmpty()
    }

    @Test
    fun `Given successive versions, when readers are selected, then every host is a reader for some version`() {
        expectThat(readers(1)).isNotEqualTo(readers(2))
        val allReaders = (1L..60).flatMapTo(mutableSetOf()) { readers(it) }
        expectThat(allReaders).hasSize(names.size)
    }

    @Test
    fun `Given a region without the platform, when its daemons compute their role, then none is a reader`() {
        val readersWithFarDomains = names.filter {
            rolesOf(it, region = { domain ->
                if (domain ==
                    0
                ) {
                    "r"
                } else {
                    "far"
                }
            }).isReader(ResourceKind.DOCUMENT, 1)
        }
        expectThat(readersWithFarDomains.filterNot { it.startsWith("a") }).isEmpty()
    }

    @Test
    fun `Given one host list, when daemons compute the tree, then it is equal on all and differs by version`() {
        val fleet = ListedFleet(DOMAINS, HOSTS_PER_DOMAIN)
        val domain = fleet.self.failureDomain
        val trees = names.map { rolesOf(it).tree(domain, document(1).version) }.distinct()
        expectThat(trees).hasSize(1)
        val treeHeads = (1L..30).mapTo(mutableSetOf()) { rolesOf("a1").tree(domain, document(it).version).first() }
        expectThat(treeHeads.size).isGreaterThan(HOSTS_PER_DOMAIN / 2)
    }

    private companion object {
        const val DOMAINS = 3
        const val HOSTS_PER_DOMAIN = 6
    }
}
