package kingcuptide.forwarder.request

import kingcuptide.coordination.request.CallEvidence
import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RunningRequestsTest {
    private val clock = ManualClock()
    private val running = RunningRequests(clock).apply { started("9c41", LATE) }

    @Test
    fun `Given a running request, when an id continues its id, then it is a call of that request`() {
        expectThat(running.isCallById("9c41.07be")).isTrue()
    }

    @Test
    fun `Given a running request, when its own or another id arrives, then it is no call`() {
        expectThat(running.isCallById("9c41")).isFalse()
        expectThat(running.isCallById("9c4")).isFalse()
        expectThat(running.isCallById("07be")).isFalse()
    }

    @Test
    fun `Given a request that has ended, when an id continues its id, then it is no call`() {
        running.ended("9c41")
        expectThat(running.isCallById("9c41.07be")).isFalse()
    }

    /** Otherwise a call of a request that the target finishes without its caller would be refused for want of an API key. */
    @Test
    fun `Given a request that was abandoned, when an id continues its id within 10 s, then it is a call`() {
        running.abandoned("9c41")
        clock.advance(9.seconds)
        expectThat(running.isCallById("9c41.07be")).isTrue()
        clock.advance(2.seconds)
        expectThat(running.isCallById("9c41.07be")).isFalse()
    }

    @Test
    fun `Given a request that was abandoned twice, when its lifetime is over, then nothing of it is kept`() {
        running.abandoned("9c41")
        running.started("9c41", LATE)
        running.abandoned("9c41")
        running.started("0a0a", LATE)
        running.ended("0a0a")
        clock.advance(11.seconds)
        expectThat(running.isCallById("9c41.07be")).isFalse()
        running.started("9c42", LATE)
        expectThat(running.isCallById("9c42.07be")).isTrue()
    }

    /** Guards against calls of lost runs that are refused: a target may run a request until its deadline. */
    @Test
    fun `Given requests that were abandoned, when the last deadline passes, then the target runs nothing`() {
        running.ended("9c41")
        running.started("a", clock.now() + 4.seconds)
        running.started("b", clock.now() + 2.seconds)
        running.abandoned("a")
        running.abandoned("b")
        clock.advance(3_999.milliseconds)
        expectThat(evidence()).isEqualTo(CallEvidence.TARGET_MAY_RUN)
        clock.advance(1.milliseconds)
        expectThat(evidence()).isEqualTo(CallEvidence.NONE)
    }

    @Test
    fun `Given a daemon that has started, when the longest run is over, then the target runs what it was sent since`() {
        expectThat(evidence(longestRun = 15.seconds)).isEqualTo(CallEvidence.TARGET_MAY_RUN)
        running.ended("9c41")
        clock.advance(14.seconds)
        expectThat(evidence(longestRun = 15.seconds)).isEqualTo(CallEvidence.TARGET_MAY_RUN)
        clock.advance(1.seconds)
        expectThat(evidence(longestRun = 15.seconds)).isEqualTo(CallEvidence.NONE)
        expectThat(evidence(longestRun = 15.seconds, id = "9c41.07be")).isEqualTo(CallEvidence.NONE)
    }

    /** Guards against retries of a route whose calls are charged to another one. */
    @Test
    fun `Given an id of its own, when a call arrives, then the request with the closest deadline has made it`() {
        running.started("a", 3.seconds)
        running.started("b", 8.seconds)
        expectThat(running.callerOf("f00d", 2_998.milliseconds)).isEqualTo("a")
        expectThat(running.callerOf("f00d", 7.seconds)).isEqualTo("b")
        expectThat(running.callerOf("9c41.07be", 3.seconds)).isEqualTo("9c41")
    }

    @Test
    fun `Given no running request, when a call arrives, then it is counted nowhere`() {
        running.abandoned("9c41")
        expectThat(running.callerOf("f00d", 1.seconds)).isNull()
        running.addCalls("9c41", mapOf(1 to 1))
        expectThat(running.callsOf("9c41")).isEqualTo(emptyMap())
    }

    private fun evidence(longestRun: Duration = Duration.ZERO, id: String = "f00d") =
        running.evidenceFor(id, longestRun)

    private companion object {
        val LATE = Duration.INFINITE
    }
}
