package kingcuptide.forwarder.request

import kingcuptide.forwarder.request.ScriptedTarget.Companion.response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against a late response whose body is read as a response, or which takes one as its body, beside a HEAD request. */
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

    @Test
    fun `Given a HEAD request, when a copy of its response is late, then the next request has another connection`() {
        val head = "HTTP/1.1 200 X\r\nId: 1\r\nProof: p\r\nContent-Length: 40\r\n\r\n"
        ScriptedTarget(
            listOf(head, head + response("2", response("2", ""))),
            listOf(response("2", "b")),
        ).use { target ->
            SocketGate(target.address).use { gate ->
                expectThat(gate.submit("1", method = "HEAD").single()).isA<ForwardResult.Answered>()
                val next = gate.submit("2").single()
                expectThat(next).isA<ForwardResult.Answered>().get { response.body.decodeToString() }.isEqualTo("b")
            }
        }
    }
}
