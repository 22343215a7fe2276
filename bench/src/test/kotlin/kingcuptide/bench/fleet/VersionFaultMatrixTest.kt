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

/** Every fault of [VersionFault] at every step of [VersionStep], and the promises after it. */
class VersionFaultMatrixTest {
    @TestFactory
    fun `Given a fault at a step, when it has ended, then every promise holds`(): List<DynamicTest> =
        VersionFault.entries.flatMap { fault ->
            COVERED_STEPS.map { step ->
                DynamicTest.dynamicTest("${fault.label} at ${step.label}") {
                    for (shape in SHAPES) SEEDS.forEach { check(fault, step, shape, it) }
                }
            }
        }

    @Test
    fun `Given the page of the fault matrix, when it is read, then it shows the versions' table as declared here`() {
        val page = Path("../docs/FAULT-MATRIX.md").readText()
        expectThat(page).contains(versionFaultTable(COVERED_STEPS))
    }

    private fun check(fault: VersionFault, step: VersionStep, shape: FleetShape, seed: Int) {
        println("fault=$fault step=$step domains=${shape.failureDomainsPerRegion} seed=$seed")
        val scene = settledScene(fault, shape, seed)
        scene.strikeAt(step)
        scene.fleet.run(FAULT_LASTS)
        expectThat(scene.struckAt).describedAs("the step was reached").isNotNull()
        fault.end(scene)
        val bound = if (fault in COLD_HERD) RESTART_BOUND else BOUND
        scene.fleet.run(bound)
        val behind = scene.fleet.hosts.filterNot {
            it.daemon?.number == scene.expected && it.daemon?.canAcceptWork == true
        }
        expectThat(
            behind.map {
                "${it.entry.host}: ${it.daemon?.number}"
            },
        ).describedAs("behind version ${scene.expected}").isEmpty()
        expectThat(scene.fleet.hosts.sumOf { it.servedOlder }).describedAs("served an older version").isEqualTo(0)
        expectThat(scene.fleet.hosts.filterNot { isWhole(it) }.map { it.entry.host }).describedAs("not whole").isEmpty()
        expectThat(
            scene.fleet.platform.callsBySecond.values.max(),
        ).describedAs("source calls").isLessThanOrEqualTo(2_000)
    }

    private fun settledScene(fault: VersionFault, shape: FleetShape, seed: Int): FaultScene {
        val fleet = InMemoryFleet(shape, seed, VersionDaemon.factory(VersionSettings(PLATFORM_REGION)))
        val documents = DocumentSeries(Random(seed), DOCUMENT_BYTES)
        val scene = FaultScene(fleet, documents, fault)
        fleet.platform.publish(hostListContent(1, shape.hosts()))
        fleet.platform.publish(documents.next())
        fleet.start()
        fleet.run(SETTLE)
        repeat(2) {
            scene.publishNext()
            fleet.run(2.seconds)
        }
        return scene
    }

    private fun isWhole(host: FleetHost): Boolean {
        val content = (host.daemon as VersionDaemon).coordinator.document.current?.content ?: return false
        val again = ResourceContent.of(content.kind, content.version.number, content.entries)
        return again.version == content.version && validateDocument(content).isOk
    }

    private companion object {
        val COVERED_STEPS = VersionStep.entries - VersionStep.IN_VIEW
        val COLD_HERD = setOf(VersionFault.HERD_KILLED)
        val SHAPES = listOf(FleetShape(listOf(4, 3), 3), FleetShape(listOf(2, 2, 2), 3))
        val SEEDS = listOf(1, 2)
        val BOUND = 4.seconds
        val RESTART_BOUND = 8.seconds
        val SETTLE = 15.seconds
        const val DOCUMENT_BYTES = 20_000
    }
}
