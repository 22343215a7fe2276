package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal class SourceReaderTest {
    private val clock = SteppedClock()
    private var callCount = 0L

    private fun reader(random: Random, budget: TokenBucket = TokenBucket(clock, 100.0, 100.0)) =
        SourceReader(ResourceKind.DOCUMENT, clock, random, TEST_SETTINGS, budget, VersionCounters())

    private fun SourceReader.nextCall(isReader: Boolean, age: Duration, after: Long? = 3): SourceEffect? =
        tick(isReader, after, age) { ++callCount }

    @Nested
    inner class `Given a daemon with the reader role` {
        private val reader = reader(Random(1))

        @Test
        fun `when it has a version, then it keeps one watch open for the next one`() {
            val effect = reader.nextCall(isReader = true, age = Duration.ZERO)
            expectThat(effect).isA<SourceEffect.Watch>().get { afterNumber to wait }.isEqualTo(
                3L to TEST_SETTINGS.watchTimeout,
            )
            expectThat(reader.nextCall(isReader = true, age = Duration.ZERO)).isNull()
        }

        @Test
        fun `when a watch ends unchanged late, then the confirmation dates from the end of its wait`() {
            val watch = reader.nextCall(isReader = true, age = Duration.ZERO)!!
            clock.time += 30.seconds
            val confirmedAt = reader.recordOutcome(watch.call, SourceOutcome.Unchanged(3))
            expectThat(confirmedAt).isEqualTo(TEST_SETTINGS.watchTimeout)
        }

        @Test
        fun `when a call times out, then it is abandoned, and its late outcome confirms nothing`() {
            val watch = reader.nextCall(isReader = true, age = Duration.ZERO)!!
            clock.time += TEST_SETTINGS.watchTimeout + TEST_SETTINGS.sourceCallTimeout
            expectThat(reader.nextCall(isReader = true, age = Duration.ZERO)).isNull()
            clock.time += 3.seconds
            expectThat(reader.nextCall(isReader = true, age = Duration.ZERO)).isNotNull()
            expectThat(reader.recordOutcome(watch.call, SourceOutcome.Unchanged(3))).isNull()
        }
    }

    @Nested
    inner class `Given a daemon without the reader role` {
        private val reader = reader(Random(1))

        @Test
        fun `when it receives confirmations, then it makes no call`() {
            repeat(100) {
                clock.time += 1.seconds
                expectThat(reader.nextCall(isReader = false, age = 5.seconds)).isNull()
            }
        }

        @Test
        fun `when it has received no confirmation for long, then it compares numbers once without waiting`() {
            val effect = reader.nextCall(isReader = false, age = TEST_SETTINGS.fallbackAfter * 2)
            expectThat(effect).isA<SourceEffect.Watch>().get { wait }.isEqualTo(Duration.ZERO)
        }
    }

    @Test
    fun `Given 1,100 daemons that all have the reader role, when the source fails, then calls stay under 2,000`() {
        val settings = VersionSettings(TEST_SETTINGS.platformRegion)
        val fleet = ListedFleet(domains = 1, hostsPerDomain = 1)
        val daemons =
            List(1_100) {
                versionCoordinator(
                    clock,
                    Random(it),
                    fleet,
                    settings,
                    deflatePayloadCodec(),
                    ::validate,
                ) { com.github.michaelbull.result.Ok(fleet.hostList) }
            }
        val callsPerStep = mutableListOf<Int>()
        repeat(100) {
            clock.time += 100.milliseconds
            callsPerStep += daemons.sumOf { daemon -> daemon.stepAgainstFailingSource() }
        }
        val maxCallsPerSecond = callsPerStep.windowed(10).maxOf { it.sum() }
        println("worst_calls_per_s=$maxCallsPerSecond")
        expectThat(maxCallsPerSecond).isLessThanOrEqualTo(2_000)
        expectThat(callsPerStep.sum()).isGreaterThan(1_100)
    }

    private fun VersionCoordinator<String>.stepAgainstFailingSource(): Int {
        tick()
        val effects = takeSourceEffects()
        effects.forEach { sourceOutcome(it.call, it.kind, SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE)) }
        return effects.size
    }

    @Test
    fun `Given a source that is down for ten minutes, when a daemon falls back to it, then it makes few calls`() {
        val reader = reader(Random(3))
        var callsMade = 0
        val end = clock.time + 10.minutes
        while (clock.time < end) {
            clock.time += 100.milliseconds
            val effect = reader.nextCall(isReader = false, age = 1.minutes) ?: continue
            callsMade++
            reader.recordOutcome(effect.call, SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE))
        }
        println("calls_in_ten_minutes=$callsMade")
        expectThat(callsMade).isLessThanOrEqualTo(80)
    }
}
