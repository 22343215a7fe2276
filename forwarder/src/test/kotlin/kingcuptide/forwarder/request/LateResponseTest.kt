package kingcuptide.forwarder.request

import kingcuptide.forwarder.request.ScriptedTarget.Companion.response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a late copy of the response to a request that passes for the response to its second run. */
internal class LateResponseTest {
    private fun ForwardResult.text(): String =
        (this as ForwardResult.Answered).response.run { "$status ${body.decodeToString()}" }

    /** The ids of the two are equal, so that only the connection can tell them apart. */
    @Test
    fun `Given a request that runs again, when a copy of its first response is late, then it gets its second`() {
        val first = response("1", "first")
        val second = response("1", "second", status = 500)
        ScriptedTarget(listOf(first, first + second), listOf(second)).use { target ->
            SocketGate(target.address).use { gate ->
                expectThat(gate.submit("1").single().text()).isEqualTo("200 first")
                expectThat(gate.submit("1").single().text()).isEqualTo("500 second")
            }
        }
    }
}
