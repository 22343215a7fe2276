package kingcuptide.daemon.process

import kingcuptide.coordination.process.Membership
import kingcuptide.coordination.request.AdmissionGate
import kingcuptide.daemon.request.TargetClient
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks after the target's health. Only a target that comes back from being down counts for something: the gate's ramp
 * starts over. Whether requests are taken is decided by how the target answers them, since health words may mislead.
 */
class TargetWatcher(
    private val settings: TargetSettings,
    private val target: TargetClient,
    private val gate: AdmissionGate,
    private val membership: Membership,
) {
    private var healthy: Boolean? = null

    /** Asks at regular times until cancelled. */
    suspend fun run() {
        while (true) {
            note(target.isHealthy(settings.healthIntervalMs.milliseconds))
            delay(settings.healthIntervalMs.milliseconds)
        }
    }

    private fun note(now: Boolean) {
        if (now == healthy) return
        val before = healthy
        healthy = now
        log.info("target_health", "healthy" to now)
        membership.announceCold(!now)
        if (now && before == false) gate.targetStarted()
    }

    private companion object {
        val log = eventLog("target")
    }
}
