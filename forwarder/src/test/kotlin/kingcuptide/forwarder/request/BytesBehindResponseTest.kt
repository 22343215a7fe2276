package kingcuptide.forwarder.request

import kingcuptide.forwarder.request.ScriptedTarget.Companion.response
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against a request that is sent on a connection whose last read has more bytes than the response before it. */
internal class BytesBehindResponseTest {
    @Test
    fun `Given bytes behind a response in one read, when a request waits, then it is sent on another connection`() {
        for (extra in EXTRA_BYTES) {
            ScriptedTarget(listOf(response("1", "a") + extra), listOf(response("2", "b"))).use { target ->
                SocketGate(target.address).use { gate ->
                    val (first, second) = gate.submit("1", "2")
                    expectThat(first).describedAs(extra).isA<ForwardResult.Answered>()
                    expectThat(second).describedAs(extra).isA<ForwardResult.Answered>()
                    expectThat(target.connections).describedAs(extra).isEqualTo(2)
                }
            }
        }
    }

    private companion object {
        val EXTRA_BYTES = listOf(
            "garbage\r\n\r\n",
            response("1", "a"),
            "HTTP/1.1 102 X\r\n\r\n",
            "HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 9\r\n\r\n",
        )
    }
}
