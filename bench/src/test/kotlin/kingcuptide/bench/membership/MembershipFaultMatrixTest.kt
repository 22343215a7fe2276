package kingcuptide.bench.membership

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class MembershipFaultMatrixTest {
    @TestFactory
    fun `Given any fault at any step, when it is injected, then the guarantees of its case hold`(): List<DynamicTest> =
        MEMBERSHIP_FAULT_CASES.map { case ->
            DynamicTest.dynamicTest("$case, seeds $SEEDS") {
                for (seed in SEEDS) {
                    expectThat(
                        MembershipCaseRun(case, seed).run(),
                    ).describedAs("$case, seed $seed").isEqualTo(emptySet())
                }
            }
        }

    private companion object {
        val SEEDS = 1L..3L
    }
}
