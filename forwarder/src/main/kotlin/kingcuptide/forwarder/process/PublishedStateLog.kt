package kingcuptide.forwarder.process

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.RoutingVersion
import kingcuptide.coordination.version.TargetEntry

/** Writes a log line for each change of the published state. */
internal class PublishedStateLog : PublishedState.Observer {
    private val log = eventLog("belief")

    override fun versionInForce(version: RoutingVersion, before: Long?) {
        log.info(
            "version_in_force",
            "version" to version.number,
            "before" to before,
            "routes" to version.routeCount,
            "workspaces" to version.workspaces.all.size,
            "keys" to version.workspaces.keyCount,
        )
        for (fault in version.faults) {
            log.warn(
                "configuration_fault",
                "version" to version.number,
                "entry" to fault.entry,
                "reason" to fault.reason,
            )
        }
    }

    override fun versionRefused(number: Long, held: Long) =
        log.warn("version_refused", "version" to number, "held" to held, "reason" to "older")

    override fun targetSeen(entry: TargetEntry) =
        log.info(
            "target_seen",
            "target" to entry.id,
            "service" to entry.service,
            "address" to entry.address,
            "cold_ms" to entry.coldFor.inWholeMilliseconds,
        )

    override fun targetLeaving(entry: TargetEntry) =
        log.info("target_leaving", "target" to entry.id, "service" to entry.service)

    override fun targetGone(entry: TargetEntry, reason: String) =
        log.info("target_gone", "target" to entry.id, "service" to entry.service, "reason" to reason)

    override fun takenOut(failureDomain: FailureDomainId, out: Boolean) =
        log.info("failure_domain", "failure_domain" to failureDomain, "taken_out" to out)

    override fun sourceRestored(era: Long) = log.warn("source_restored", "era" to era)

    override fun unusable(key: String, revision: Long, reason: String) =
        log.info("item_unusable", "key" to key, "revision" to revision, "reason" to reason)
}
