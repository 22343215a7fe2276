package kingcuptide.coordination.request

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration

/** Every fault at every step of a claim, alone and in pairs, with the key sent again at several times and gates. */
internal class KeyFaultMatrixTest {
    private data class Row(
        val last: KeyStep,
        val faults: Map<KeyStep, KeyFault>,
        val resend: Resend,
        val gate: SecondGate,
    )

    private fun resends(
        last: KeyStep,
        faults: Map<KeyStep, KeyFault>,
    ): List<Row> = Resend.entries.flatMap { resend -> SecondGate.entries.map { Row(last, faults, resend, it) } }

    private fun singles(): List<Row> = KeyStep.entries.flatMap { step ->
        KeyFault.entries.flatMap { fault ->
            KeyStep.entries.filter { it >= step }.flatMap { last -> resends(last, mapOf(step to fault)) }
        }
    }

    private fun pairs(): List<Row> = KeyStep.entries.flatMap { second ->
        KeyStep.entries.filter { it < second }.flatMap { first ->
            KeyFault.entries.flatMap { earlier ->
                KeyFault.entries.flatMap { later -> resends(second, mapOf(first to earlier, second to later)) }
            }
        }
    }

    private fun doubleRuns(
        rows: List<Row>,
        rules: KeyRules = keyRules(testKeySettings),
    ): List<Row> = rows.filter { row ->
        val run = KeyFaultRun(row.faults, rules)
        run.play(row.last, row.resend, row.gate)
        run.world.doubleRun() != null
    }

    @Test
    fun `Given one fault at any step, when the key is sent again, then it does not run twice`() {
        val rows = singles()
        println("rows=${rows.size}")
        expectThat(doubleRuns(rows).firstOrNull()).isNull()
    }

    @Test
    fun `Given two faults at any two steps, when the key is sent again, then it does not run twice`() {
        val rows = pairs()
        println("rows=${rows.size}")
        expectThat(doubleRuns(rows).firstOrNull()).isNull()
    }

    @Nested
    inner class WithoutARule {
        private val rules = keyRules(testKeySettings)

        @Test
        fun `Given no hold-off, when faults strike, then some row runs twice`() {
            expectThat(
                doubleRuns(singles(), rules.copy(holdOff = Duration.ZERO)).firstOrNull(),
            ).isNotNull()
        }

        @Test
        fun `Given a quorum of one, when faults strike, then some row runs twice`() {
            expectThat(doubleRuns(singles(), rules.copy(quorum = 1)).firstOrNull()).isNotNull()
        }
    }

    /** What the resend is told. */
    @Nested
    inner class Answers {
        private fun expectSecond(
            last: KeyStep,
            step: KeyStep,
            fault: KeyFault,
            result: SecondResult,
        ) {
            for (gate in SecondGate.entries) {
                val run = KeyFaultRun(mapOf(step to fault))
                expectThat(run.play(last, Resend.HALFWAY, gate)).describedAs("$step $fault $gate").isEqualTo(result)
            }
        }

        @Test
        fun `Given a key that ran, when sent again, then it is already used`() {
            expectSecond(KeyStep.COMPLETED, KeyStep.COMPLETED, KeyFault.NONE, SecondResult.ALREADY_USED)
        }

        @Test
        fun `Given a key whose gate died while it ran, when sent again, then it is already used`() {
            expectSecond(KeyStep.BEGUN, KeyStep.BEGUN, KeyFault.GATE_KILLED, SecondResult.ALREADY_USED)
        }

        @Test
        fun `Given a key that ran, when one witness restarted, then it is still already used`() {
            expectSecond(KeyStep.COMPLETED, KeyStep.BEGUN, KeyFault.FIRST_WITNESS_RESTARTED, SecondResult.ALREADY_USED)
        }

        @Test
        fun `Given a key that ran, when any fault spares a witness that answers, then it is already used`() {
            val faults = listOf(
                KeyFault.TWO_WITNESSES_RESTARTED,
                KeyFault.FIRST_WITNESS_FROZEN,
                KeyFault.FIRST_WITNESS_CUT,
                KeyFault.ALL_MESSAGES_LOST,
                KeyFault.ALL_MESSAGES_REPEATED,
                KeyFault.ALL_MESSAGES_REVERSED,
                KeyFault.FIRST_WITNESS_REPLACED,
            )
            faults.forEach { expectSecond(KeyStep.COMPLETED, KeyStep.BEGUN, it, SecondResult.ALREADY_USED) }
        }

        @Test
        fun `Given a key that ran, when all daemons restarted, then it is not granted`() {
            expectSecond(KeyStep.BEGUN, KeyStep.BEGUN, KeyFault.ALL_RESTARTED, SecondResult.NOT_GRANTED)
        }

        @Test
        fun `Given a released key, when sent again, then it runs`() {
            expectSecond(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.NONE, SecondResult.RAN)
        }

        @Test
        fun `Given one witness cut off, when a key is sent the first time again, then it runs`() {
            expectSecond(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.FIRST_WITNESS_CUT, SecondResult.RAN)
        }

        @Test
        fun `Given two witnesses cut off, when the key is sent, then it is not granted`() {
            expectSecond(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.TWO_WITNESSES_CUT, SecondResult.NOT_GRANTED)
        }

        @Test
        fun `Given one witness replaced on every list, when a new key is sent, then the other two grant it`() {
            expectSecond(KeyStep.RELEASED, KeyStep.CLAIM_SENT, KeyFault.FIRST_WITNESS_REPLACED, SecondResult.RAN)
        }
    }
}
