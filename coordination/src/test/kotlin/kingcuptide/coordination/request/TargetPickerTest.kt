package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class TargetPickerTest {
    private val clock = ManualClock()
    private val regions = mapOf("a" to "north", "b" to "north", "c" to "south")
    private val picker = TargetPicker(
        clock,
        DaemonLocation(FailureDomainId("a"), RegionId("north")) { regions[it.value]?.let(::RegionId) },
        Random(1),
    )
    private val own = target("own", "a")
    private val near = target("near", "b")
    private val far = target("far", "c")
    private val all = listOf(far, near, own)

    private fun target(name: String, domain: String) = KnownTarget(
        TargetEntry(
            TargetId(name),
            ServiceId("parcels"),
            "192.0.2.1",
            80,
            FailureDomainId(domain),
            "v1",
            slots = 10,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = 0,
            reports = 1,
        ),
        revision = 1,
    )

    private fun request(tried: Set<TargetId> = emptySet(), bodyBytes: Int = 0) =
        PickRequest(ROUTE, 500.milliseconds, 500.milliseconds, 3.seconds, bodyBytes, tried)

    private fun loadReport(inFlight: Int, queued: Int = 0, wait: Duration = Duration.ZERO) =
        GateLoadReport(inFlight, queued, limit = 10, wait, cold = false)

    @Nested
    inner class `Preference for near targets` {
        @Test
        fun `Given idle targets, when one is picked, then it is the one in the own failure domain`() {
            expectThat(picker.pick(all, request())?.target).isEqualTo(own)
        }

        @Test
        fun `Given long queues at the near targets, when one is picked, then it is the idle one in another region`() {
            picker.recordLoadReport(own.entry.id, loadReport(10, 20, wait = 900.milliseconds))
            picker.recordLoadReport(near.entry.id, loadReport(10, 20, wait = 900.milliseconds))
            expectThat(picker.pick(all, request())?.target).isEqualTo(far)
        }

        @Test
        fun `Given queues at the near targets, when the request body is large, then it stays in the failure domain`() {
            picker.recordLoadReport(own.entry.id, loadReport(10, 5, wait = 300.milliseconds))
            picker.recordLoadReport(near.entry.id, loadReport(10, 5, wait = 300.milliseconds))
            expectThat(picker.pick(all, request())?.target).isEqualTo(far)
            expectThat(picker.pick(all, request(bodyBytes = 8_000))?.target).isEqualTo(own)
        }

        @Test
        fun `Given a load report older than a second, when a target is picked, then the report has no effect`() {
            picker.recordLoadReport(own.entry.id, loadReport(10, 20, wait = 900.milliseconds))
            clock.advance(1_100.milliseconds)
            expectThat(picker.pick(all, request())?.target).isEqualTo(own)
        }

        @Test
        fun `Given a target whose named rate is spent, when its report is old, then another is still picked`() {
            val report = loadReport(0, wait = 10.seconds).copy(ratePerSecond = 0.1)
            picker.recordLoadReport(own.entry.id, report)
            clock.advance(3.seconds)
            expectThat(picker.pick(all, request())?.target).isEqualTo(near)
            clock.advance(10.seconds)
            expectThat(picker.pick(all, request())?.target).isEqualTo(own)
        }

        @Test
        fun `Given a rate, when a gate reports none after a restart, then it is known until a response ends it`() {
            picker.recordLoadReport(own.entry.id, loadReport(0).copy(ratePerSecond = 0.7))
            picker.recordLoadReport(own.entry.id, loadReport(0))
            expectThat(picker.lastRate(own.entry.id)).isEqualTo(0.7)
            picker.recordRate(own.entry.id, null)
            expectThat(picker.lastRate(own.entry.id)).isNull()
        }

        @Test
        fun `Given a rate, when nobody has named it for over a minute, then it is no longer known`() {
            picker.recordRate(own.entry.id, 0.7)
            clock.advance(61.seconds)
            expectThat(picker.lastRate(own.entry.id)).isNull()
        }

        @Test
        fun `Given a tried target, when one is picked, then it is another`() {
            expectThat(picker.pick(all, request(setOf(own.entry.id)))?.target).isEqualTo(near)
            expectThat(picker.pick(all, request(all.mapTo(HashSet()) { it.entry.id }))?.target).isNull()
        }
    }

    @Nested
    inner class `Targets that fail while they seem idle` {
        @Test
        fun `Given a target that fails half of its requests, when targets are picked, then it gets few requests`() {
            var ownCount = 0
            repeat(200) { round ->
                val picked = checkNotNull(picker.pick(all, request())).target
                picker.sent(picked.entry.id)
                val failed = picked == own && round % 2 == 0
                if (failed) picker.failed(picked.entry.id) else answered(picked, 100.milliseconds)
                if (picked == own) ownCount++
                clock.advance(20.milliseconds)
            }
            expectThat(ownCount).isLessThan(60)
        }

        @Test
        fun `Given a target that is healthy again, when time passes, then it gets requests again`() {
            repeat(10) {
                picker.sent(own.entry.id)
                picker.failed(own.entry.id)
            }
            expectThat(picker.pick(all, request())?.target).isEqualTo(near)
            var ownCount = 0
            repeat(400) {
                clock.advance(20.milliseconds)
                val picked = checkNotNull(picker.pick(all, request())).target
                picker.sent(picked.entry.id)
                answered(picked, 100.milliseconds)
                if (picked == own) ownCount++
            }
            expectThat(ownCount).isGreaterThan(100)
        }
    }

    @Nested
    inner class `Slow targets` {
        @Test
        fun `Given a target with five times the run time, when one is picked, then it is another`() {
            repeat(60) {
                for (target in listOf(near, far)) {
                    picker.sent(target.entry.id)
                    answered(target, 100.milliseconds)
                }
                picker.sent(own.entry.id)
                answered(own, 500.milliseconds)
            }
            expectThat(picker.pick(all, request())?.target).isEqualTo(near)
        }
    }

    @Nested
    inner class `Boundary values` {
        @Test
        fun `Given run times of zero, when a target is picked, then there is one`() {
            repeat(200) {
                val picked = checkNotNull(picker.pick(all, request())).target
                picker.sent(picked.entry.id)
                answered(picked, Duration.ZERO)
            }
            expectThat(picker.pick(all, request())?.target).isEqualTo(own)
        }

        @Test
        fun `Given an objective of zero, when a target is picked, then there is one`() {
            val withoutObjective = PickRequest(ROUTE, Duration.ZERO, Duration.ZERO, Duration.ZERO, 0, emptySet())
            expectThat(picker.pick(all, withoutObjective)?.target).isEqualTo(own)
        }
    }

    private fun answered(target: KnownTarget, ran: Duration) =
        picker.answered(target.entry.id, ROUTE, 500.milliseconds, ran, bytes = 3_000, successful = true)

    private companion object {
        val ROUTE = RouteId("parcels")
    }
}
