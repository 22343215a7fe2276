package kingcuptide.coordination.request

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration

/** Injects every fault at every step of a claim, alone and in pairs; the key is resent at several times and gates. */
internal class KeyFaultMatrixTest {
    private data class Row(
        val last: KeyStep,
        val faults: Map<KeyStep, KeyFault>,
        val resend: Resend,
        val gate: SecondGate,
    )

    private fun rowsFor(
        last: KeyStep,
        faults: Map<KeyStep, KeyFault>,
    ): List<Row> = Resend.entries.flatMap { resend -> SecondGate.entries.map { Row(last, faults, resend, it) } }

    private fun singleFaultRows(): List<Row> = KeyStep.entries.flatMap { step ->
        KeyFault.entries.flatMap { fault ->
            KeyStep.entries.filter { it >= step }.flatMap { last -> rowsFor(last, mapOf(step to fault)) }
        }
    }

    private fun faultPairRows(): List<Row> = KeyStep.entries.flatMap { second ->
        KeyStep.entries.filter { it < second }.flatMap { first ->
            KeyFault.entries.flatMap { earlier ->
                KeyFault.entries.flatMap { later -> rowsFor(second, mapOf(first to earlier, second to later)) }
            }
        }
    }

    private fun rowsWithDoubleRun(
        rows: List<Row>,
        rules: KeyRules = keyRules(testKeySettings),
    ): List<Row> = rows.filter { row ->
        val run = KeyFaultRun(row.faults, rules)
        run.play(row.last, row.resend, row.gate)
        run.simulation.findDoubleRun() != null
    }

    @Test
    fun `Given one fault at any step, when the key is resent, then it does not run twice`() {
        val rows = singleFaultRows()
        println("rows=${rows.size}")
        expectThat(rowsWithDoubleRun(rows).firstOrNull()).isNull()
    }

    @Test
    fun `Given two faults at any two steps, when the key is resent, then it does not run twice`() {
        val rows = faultPairRows()
        println("rows=${rows.size}")
        expectThat(rowsWithDoubleRun(rows).firstOrNull()).isNull()
    }

    @Nested
    inner class WeakenedRules {
        private val rules = keyRules(testKeySettings)

        @Test
        fun `Given no hold-off, when faults are injected, then a key runs twice`() {
            expectThat(
                rowsWithDoubleRun(singleFaultRows(), rules.copy(holdOff = Duration.ZERO)).firstOrNull(),
            ).isNotNull()
        }

        @Test
        fun `Given a quorum of one, when faults are injected, then a key runs twice`() {
            expectThat(rowsWithDoubleRun(singleFaultRows(), rules.copy(quorum = 1)).firstOrNull()).isNotNull()
        }
    }

    /** Result of the resend that the caller gets. */
    @Nested
    inner class ResendResults {
        private fun expectResend(
            last: KeyStep,
            step: KeyStep,
            fault: KeyFault,
            result: ResendResult,
        ) {
            for (gate in SecondGate.entries) {
                val run = KeyFaultRun(mapOf(step to fault))
                expectThat(run.play(last, Resend.HALFWAY, gate)).describedAs("$step $fault $gate").isEqualTo(result)
            }
        }

        @Test
        fun `Given a key that ran, when resent, then it is already used`() {
            expectResend(KeyStep.COMPLETED, KeyStep.COMPLETED, KeyFault.NONE, ResendResult.ALREADY_USED)
        }

        @Test
        fun `Given a key whose gate crashed while it ran, when resent, then it is already used`() {
            expectResend(KeyStep.BEGUN, KeyStep.BEGUN, KeyFault.GATE_KILLED, ResendResult.ALREADY_USED)
        }

        @Test
        fun `Given a key that ran, when one witness restarts, then it is still already used`() {
            expectResend(KeyStep.COMPLETED, KeyStep.BEGUN, KeyFault.FIRST_WITNESS_RESTARTED, ResendResult.ALREADY_USED)
        }

        @Test
        fun `Given a key that ran, when one witness with its record remains reachable, then it is already used`() {
            val faults = listOf(
                KeyFault.TWO_WITNESSES_RESTARTED,
                KeyFault.FIRST_WITNESS_PAUSED,
                KeyFault.FIRST_WITNESS_DISCONNECTED,
                KeyFault.ALL_MESSAGES_LOST,
                KeyFault.ALL_MESSAGES_DUPLICATED,
                KeyFault.ALL_MESSAGES_REVERSED,
                KeyFault.FIRST_WITNESS_REPLACED,
            )
            faults.forEach { expectResend(KeyStep.COMPLETED, KeyStep.BEGUN, it, ResendResult.ALREADY_USED) }
        }

        @Test
        fun `Given a key that ran, when all daemons restart, then it is not granted`() {
            expectResend(KeyStep.BEGUN, KeyStep.BEGUN, KeyFault.ALL_RESTARTED, ResendResult.NOT_GRANTED)
        }

        @Test
        fun `Given a released key, when resent, then it runs`() {
            expectResend(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.NONE, ResendResult.RAN)
        }

        @Test
        fun `Given one disconnected witness, when a released key is resent, then it runs`() {
            expectResend(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.FIRST_WITNESS_DISCONNECTED, ResendResult.RAN)
        }

        @Test
        fun `Given two disconnected witnesses, when the key is sent, then it is not granted`() {
            expectResend(
                KeyStep.RELEASED,
                KeyStep.CLAIM_SENT,
                KeyFault.TWO_WITNESSES_DISCONNECTED,
                ResendResult.NOT_GRANTED,
            )
        }

        @Test
        fun `Given one witness replaced at every host, when a new key is sent, then the other two grant it`() {
            expectResend(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.FIRST_WITNESS_REPLACED, ResendResult.RAN)
        }
    }
}
