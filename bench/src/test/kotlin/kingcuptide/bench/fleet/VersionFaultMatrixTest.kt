package kingcuptide.bench.fleet

import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.VersionSettings
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Injects every [VersionFault] at every covered [VersionStep], and checks the guarantees after its end. */
class VersionFaultMatrixTest {
    @TestFactory
    fun `Given a fault at a step, when it has ended, then every guarantee holds`(): List<DynamicTest> =
        VersionFault.entries.flatMap { fault ->
            COVERED_STEPS.map { step ->
                DynamicTest.dynamicTest("${fault.label} at ${step.label}") {
                    for (shape in SHAPES) SEEDS.forEach { check(fault, step, shape, it) }
                }
            }
        }

    @Test
    fun `Given the fault matrix page, when it is read, then it contains the table of the version faults`() {
        val page = Path("../docs/FAULT-MATRIX.md").readText()
        expectThat(page).contains(versionFaultTable(COVERED_STEPS))
    }

    private fun check(fault: VersionFault, step: VersionStep, shape: FleetShape, seed: Int) {
        println("fault=$fault step=$step domains=${shape.failureDomainsPerRegion} seed=$seed")
        val scenario = settledScenario(fault, shape, seed)
        scenario.injectAt(step)
        scenario.fleet.run(FAULT_DURATION)
        expectThat(scenario.injectedAt).describedAs("the step was reached").isNotNull()
        fault.end(scenario)
        val limit = if (fault in COLD_RESTART_FAULTS) COLD_RESTART_CONVERGENCE_LIMIT else CONVERGENCE_LIMIT
        scenario.fleet.run(limit)
        val behind = scenario.fleet.hosts.filterNot {
            it.daemon?.number == scenario.expectedNumber && it.daemon?.canAcceptWork == true
        }
        expectThat(
            behind.map {
                "${it.entry.host}: ${it.daemon?.number}"
            },
        ).describedAs("behind version ${scenario.expectedNumber}").isEmpty()
        expectThat(scenario.fleet.hosts.sumOf { it.olderServedCount })
            .describedAs("times that a host served an older version")
            .isEqualTo(0)
        expectThat(scenario.fleet.hosts.filterNot { isIntact(it) }.map { it.entry.host })
            .describedAs("hosts with a damaged document")
            .isEmpty()
        expectThat(
            scenario.fleet.platform.callsBySecond.values.max(),
        ).describedAs("source calls in a second").isLessThanOrEqualTo(2_000)
    }

    private fun settledScenario(fault: VersionFault, shape: FleetShape, seed: Int): FaultScenario {
        val fleet = InMemoryFleet(shape, seed, VersionDaemon.factory(VersionSettings(PLATFORM_REGION)))
        val documents = DocumentSeries(Random(seed), DOCUMENT_BYTES)
        val scenario = FaultScenario(fleet, documents, fault)
        fleet.platform.publish(hostListContent(1, shape.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(SETTLING_TIME)
        repeat(2) {
            scenario.publishNext()
            fleet.run(2.seconds)
        }
        return scenario
    }

    private fun isIntact(host: FleetHost): Boolean {
        val content = (host.daemon as VersionDaemon).coordinator.document.current?.content ?: return false
        val recomputed = ResourceContent.of(content.kind, content.version.number, content.entries)
        return recomputed.version == content.version && validateDocument(content).isOk
    }

    private companion object {
        val COVERED_STEPS = VersionStep.entries - VersionStep.IN_VIEW
        val COLD_RESTART_FAULTS = setOf(VersionFault.HERD_KILLED)
        val SHAPES = listOf(FleetShape(listOf(4, 3), 3), FleetShape(listOf(2, 2, 2), 3))
        val SEEDS = listOf(1, 2)
        val CONVERGENCE_LIMIT = 4.seconds
        val COLD_RESTART_CONVERGENCE_LIMIT = 8.seconds
        val SETTLING_TIME = 15.seconds
        const val DOCUMENT_BYTES = 20_000
    }
}
