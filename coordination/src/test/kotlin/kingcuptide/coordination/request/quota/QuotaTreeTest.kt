package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against lenders that are too slow, have just started or stop, on which every host of a failure domain waits. */
internal class QuotaTreeTest {
    private var now = 100.seconds
    private val clock = object : Clock {
        override fun now(): Duration = now
    }
    private val domain = FailureDomainId("a")
    private val slow = (1..20).associate { HostId("slow-$it") to QuotaPeer(domain, 300) }
    private val fast = (1..2).associate { HostId("fast-$it") to QuotaPeer(domain, 1_500) }
    private val all = slow + fast
    private val tree = QuotaTree(clock, HostId("slow-1"), QuotaPeer(domain, 300)).also { it.setLive(all) }

    @Nested
    inner class `Given two hosts with more processor time` {
        @Test
        fun `when lenders are chosen, then these lend`() {
            expectThat(fast.keys).contains(tree.rootLender())
            expectThat(fast.keys).contains(tree.domainLender())
        }

        @Test
        fun `when one leaves, then the other lends`() {
            val first = tree.domainLender()
            tree.setLive(all + (first to QuotaPeer(domain, 1_500, isLeaving = true)))
            expectThat(fast.keys - first).contains(tree.domainLender())
            expectThat(tree.reasonAgainst(first)).isEqualTo(QuotaLenderChange.Reason.LEAVING)
        }

        @Test
        fun `when one is silent twice, then it is passed over for longer the second time`() {
            val first = tree.domainLender()
            tree.setSilent(first)
            expectThat(tree.domainLender()).isNotEqualTo(first)
            now += 11.seconds
            expectThat(tree.domainLender()).isEqualTo(first)
            tree.setSilent(first)
            now += 11.seconds
            expectThat(tree.domainLender()).isNotEqualTo(first)
        }
    }

    @Nested
    inner class `Given hosts that have just started` {
        @Test
        fun `when a host with more processor time joins slow ones, then it lends after 5 s`() {
            now += 20.seconds
            tree.setLive(slow)
            val joined = HostId("fast-3")
            tree.setLive(slow + (joined to QuotaPeer(domain, 1_500, startedAtUnixMs = 20_000)))
            expectThat(slow.keys).contains(tree.domainLender())
            now += 6.seconds
            expectThat(tree.domainLender()).isEqualTo(joined)
        }

        @Test
        fun `when all have started together, then they lend at once`() {
            val own = QuotaPeer(domain, 300, startedAtUnixMs = 1_000)
            val started = QuotaTree(clock, HostId("slow-1"), own)
            started.setLive(all.mapValues { (_, peer) -> peer.copy(startedAtUnixMs = 2_000) })
            expectThat(fast.keys).contains(started.domainLender())
        }

        @Test
        fun `when this host is the new one, then it chooses the same lender as the others`() {
            val own = QuotaPeer(domain, 1_500, startedAtUnixMs = 20_000)
            val started = QuotaTree(clock, HostId("fast-3"), own)
            started.setLive(all)
            expectThat(fast.keys).contains(started.domainLender())
        }
    }
}
