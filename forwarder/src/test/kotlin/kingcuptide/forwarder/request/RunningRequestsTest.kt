package kingcuptide.forwarder.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class RunningRequestsTest {
    private val running = RunningRequests().apply { started("9c41") }

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
}
