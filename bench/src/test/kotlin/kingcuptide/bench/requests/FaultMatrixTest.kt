package kingcuptide.bench.requests

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class FaultMatrixTest {
    @Nested
    inner class `Every fault at every step` {
        @TestFactory
        fun `Given a load, when a fault is injected into a request, then the guarantees hold`(): List<DynamicTest> =
            Fault.entries.flatMap { fault -> Step.entries.map { step -> cell(fault, step) } }

        private fun cell(fault: Fault, step: Step): DynamicTest =
            DynamicTest.dynamicTest("$fault at $step, seed $SEED") {
                val result = FaultCell(fault, step, SEED).run()
                expectThat(result) {
                    get { injectedFaults }.isEqualTo(1)
                    get { unfinished }.isEqualTo(0)
                    get { duplicateRuns }.isEqualTo(0)
                    get { untrueRefusals }.isEqualTo(0)
                    get { inFlightAfterDrain }.isEqualTo(0)
                    get { runsAfterTakenOut }.isEqualTo(0)
                }
                if (fault != Fault.TARGET_TURNED_COLD) expectThat(result.requestsBeyondCapacity).isEqualTo(0)
            }
    }

    @Nested
    inner class `Same seed` {
        @Test
        fun `Given one seed, when run twice, then the results are equal`() {
            val results = List(2) { FaultCell(Fault.POWER_LOST, Step.FORWARDED, SEED).run() }
            expectThat(results[0]).isEqualTo(results[1])
        }
    }

    private companion object {
        const val SEED = 11L
    }
}
