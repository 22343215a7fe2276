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
    private var calls = 0L

    private fun reader(random: Random, budget: TokenBucket = TokenBucket(clock, 100.0, 100.0)) =
        SourceReader(ResourceKind.DOCUMENT, clock, random, TEST_SETTINGS, budget, VersionCounters())

    private fun SourceReader.next(isReader: Boolean, age: Duration, after: Long? = 3): SourceEffect? =
        tick(isReader, after, age) { ++calls }

    @Nested
    inner class `Given a daemon with the reader role` {
        private val reader = reader(Random(1))

        @Test
        fun `when it holds a version, then it keeps one waiting watch after it`() {
            val effect = reader.next(isReader = true, age = Duration.ZERO)
            expectThat(effect).isA<SourceEffect.Watch>().get { afterNumber to wait }.isEqualTo(
                3L to TEST_SETTINGS.watchWait,
            )
            expectThat(reader.next(isReader = true, age = Duration.ZERO)).isNull()
        }

        @Test
        fun `when a watch ends unchanged, then the confirmation is no younger than the watch`() {
            val watch = reader.next(isReader = true, age = Duration.ZERO)!!
            clock.time += 30.seconds
            val confirmedAt = reader.ended(watch.call, SourceOutcome.Unchanged(3))
            expectThat(confirmedAt).isEqualTo(TEST_SETTINGS.watchWait)
        }

        @Test
        fun `when a call is never answered, then it is given up, and its late answer confirms nothing`() {
            val watch = reader.next(isReader = true, age = Duration.ZERO)!!
            clock.time += TEST_SETTINGS.watchWait + TEST_SETTINGS.sourceCallTimeout
            expectThat(reader.next(isReader = true, age = Duration.ZERO)).isNull()
            clock.time += 3.seconds
            expectThat(reader.next(isReader = true, age = Duration.ZERO)).isNotNull()
            expectThat(reader.ended(watch.call, SourceOutcome.Unchanged(3))).isNull()
        }
    }

    @Nested
    inner class `Given a daemon without the reader role` {
        private val reader = reader(Random(1))

        @Test
        fun `when it hears confirmations, then it never calls`() {
            repeat(100) {
                clock.time += 1.seconds
                expectThat(reader.next(isReader = false, age = 5.seconds)).isNull()
            }
        }

        @Test
        fun `when it has heard none for long, then it compares once without waiting`() {
            val effect = reader.next(isReader = false, age = TEST_SETTINGS.fallbackAfter * 2)
            expectThat(effect).isA<SourceEffect.Watch>().get { wait }.isEqualTo(Duration.ZERO)
        }
    }

    @Test
    fun `Given 1,100 daemons that all believe to be readers, when the source fails, then calls stay under 2,000`() {
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
        val perStep = mutableListOf<Int>()
        repeat(100) {
            clock.time += 100.milliseconds
            perStep += daemons.sumOf { daemon -> daemon.stepAgainstFailingSource() }
        }
        val worst = perStep.windowed(10).maxOf { it.sum() }
        println("worst_calls_per_s=$worst")
        expectThat(worst).isLessThanOrEqualTo(2_000)
        expectThat(perStep.sum()).isGreaterThan(1_100)
    }

    private fun VersionCoordinator<String>.stepAgainstFailingSource(): Int {
        tick()
        val effects = takeSourceEffects()
        effects.forEach { sourceOutcome(it.call, it.kind, SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE)) }
        return effects.size
    }

    @Test
    fun `Given a source that is down for ten minutes, when a daemon falls back, then its calls become rare`() {
        val reader = reader(Random(3))
        var made = 0
        val end = clock.time + 10.minutes
        while (clock.time < end) {
            clock.time += 100.milliseconds
            val effect = reader.next(isReader = false, age = 1.minutes) ?: continue
            made++
            reader.ended(effect.call, SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE))
        }
        println("calls_in_ten_minutes=$made")
        expectThat(made).isLessThanOrEqualTo(80)
    }
}
