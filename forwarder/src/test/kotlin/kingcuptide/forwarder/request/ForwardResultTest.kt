package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class ForwardResultTest {
    @Test
    fun `Given a code whose outcome is known, when the outcome of a request is unknown, then the code is rejected`() {
        for (code in ResultCode.entries.filter { it.outcome != Outcome.UNKNOWN }) {
            assertThrows<IllegalArgumentException> { ForwardResult.OutcomeUnknown(code, null) }
        }
    }

    @Test
    fun `Given any code number from a peer, when it is mapped, then the code has the outcome of the message`() {
        for (number in 0..700) {
            for (outcome in Outcome.entries) expectThat(codeOf(number, outcome).outcome).isEqualTo(outcome)
        }
    }
}
