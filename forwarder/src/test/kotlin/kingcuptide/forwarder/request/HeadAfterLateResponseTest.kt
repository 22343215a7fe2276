package kingcuptide.forwarder.request

import kingcuptide.forwarder.request.ScriptedTarget.Companion.response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA

/** Guards against the body of a late response, in front of the response to a HEAD request, that is read as a response. */
internal class HeadAfterLateResponseTest {
    @Test
    fun `Given a HEAD request, when a late response to another has a response as its body, then that is not used`() {
        val late = response("1", response("2", ""))
        ScriptedTarget(listOf(late, late)).use { target ->
            SocketGate(target.address).use { gate ->
                expectThat(gate.submit("1").single()).isA<ForwardResult.Answered>()
                expectThat(gate.submit("2", method = "HEAD").single()).isA<ForwardResult.OutcomeUnknown>()
            }
        }
    }
}
