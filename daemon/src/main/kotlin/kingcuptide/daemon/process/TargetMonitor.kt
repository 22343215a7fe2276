package kingcuptide.daemon.process

import kingcuptide.coordination.process.Membership
import kingcuptide.coordination.request.AdmissionGate
import kingcuptide.daemon.request.TargetClient
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * Monitors the target's health path. A recovery restarts the gate's ramp, and an unhealthy target is announced as cold.
 * Admission depends on the responses to requests, since health checks may mislead.
 */
class TargetMonitor(
    private val settings: TargetSettings,
    private val target: TargetClient,
    private val gate: AdmissionGate,
    private val membership: Membership,
) {
    private var healthy: Boolean? = null

    /** Checks the health at the configured interval until cancelled. */
    suspend fun run() {
        while (true) {
            recordHealth(target.isHealthy(settings.healthIntervalMs.milliseconds))
            delay(settings.healthIntervalMs.milliseconds)
        }
    }

    private fun recordHealth(isHealthyNow: Boolean) {
        if (isHealthyNow == healthy) return
        val before = healthy
        healthy = isHealthyNow
        log.info("target_health", "healthy" to isHealthyNow)
        membership.announceCold(!isHealthyNow)
        if (isHealthyNow && before == false) gate.targetStarted()
    }

    private companion object {
        val log = eventLog("target")
    }
}
