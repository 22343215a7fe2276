package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class ForwardResultTest {
    @Test
    fun `Given a code that promises that a request did not run, when a request is lost, then it can't be told so`() {
        for (code in ResultCode.entries.filter { it.outcome != Outcome.UNKNOWN }) {
            assertThrows<IllegalArgumentException> { ForwardResult.Lost(code, null) }
        }
    }

    @Test
    fun `Given any number from a peer, when it is read, then its outcome is that of the message`() {
        for (number in 0..700) {
            for (outcome in Outcome.entries) expectThat(codeOf(number, outcome).outcome).isEqualTo(outcome)
        }
    }
}
