package kingcuptide.forwarder.request

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class RunningRequestsTest {
    private val clock = ManualClock()
    private val running = RunningRequests(clock).apply { started("9c41") }

    @Test
    fun `Given a running request, when an id continues its id, then it is a call of that request`() {
        expectThat(running.hasMade("9c41.07be")).isTrue()
    }

    @Test
    fun `Given a running request, when its own or another id arrives, then it is no call`() {
        expectThat(running.hasMade("9c41")).isFalse()
        expectThat(running.hasMade("9c4")).isFalse()
        expectThat(running.hasMade("07be")).isFalse()
    }

    @Test
    fun `Given a request that has ended, when an id continues its id, then it is no call`() {
        running.ended("9c41")
        expectThat(running.hasMade("9c41.07be")).isFalse()
    }

    /** Otherwise a call of a request that the target finishes without its caller would be refused for want of an API key. */
    @Test
    fun `Given a request that was abandoned, when an id continues its id within 10 s, then it is a call`() {
        running.abandoned("9c41")
        clock.advance(9.seconds)
        expectThat(running.hasMade("9c41.07be")).isTrue()
        clock.advance(2.seconds)
        expectThat(running.hasMade("9c41.07be")).isFalse()
    }

    @Test
    fun `Given a request that was abandoned twice, when its lifetime is over, then nothing of it is kept`() {
        running.abandoned("9c41")
        running.started("9c41")
        running.abandoned("9c41")
        running.started("0a0a")
        running.ended("0a0a")
        clock.advance(11.seconds)
        expectThat(running.hasMade("9c41.07be")).isFalse()
        running.started("9c42")
        expectThat(running.hasMade("9c42.07be")).isTrue()
    }
}
