package kingcuptide.cli

import kingcuptide.coordination.process.StatusReport

/** Renders [report] as plain text. */
internal fun statusText(report: StatusReport): String =
    listOf(summary(report), countTable(report), laggardTable(report), unreachableLine(report))
        .filter { it.isNotEmpty() }
        .joinToString("\n\n")

/** Renders on how many hosts [version] or a later one is in force. */
internal fun progressText(report: StatusReport, version: Long): String =
    "version $version or later is in force on ${report.hostsWithAtLeast(version)} of ${report.hostsTotal} hosts, " +
        "${report.unreachableTotal} unreachable"

private fun summary(report: StatusReport): String {
    val confirmed = report.confirmedAgeMs?.let { "$it ms ago" } ?: "never"
    return "version ${report.versionInForce} is in force on ${report.hostsInForce} of ${report.hostsTotal} hosts\n" +
        "answered by ${report.answeredBy} in ${report.tookMs} ms; source confirmed $confirmed"
}

private fun countTable(report: StatusReport): String = table(
    listOf("FAILURE DOMAIN", "VERSION", "HOSTS"),
    report.counts.map { listOf(it.failureDomain.value, it.version.toString(), it.hosts.toString()) },
)

private fun laggardTable(report: StatusReport): String {
    if (report.laggards.isEmpty()) return ""
    val rows =
        report.laggards.map { laggard ->
            listOf(
                laggard.host.value,
                laggard.failureDomain?.value ?: "-",
                laggard.version.toString(),
                laggard.behindForMs?.let { "$it ms" } ?: "-",
            )
        }
    val shown = "behind: ${report.laggardsTotal}, shown: ${rows.size}"
    return shown + "\n" + table(listOf("HOST", "FAILURE DOMAIN", "VERSION", "BEHIND FOR"), rows)
}

private fun unreachableLine(report: StatusReport): String {
    if (report.unreachableTotal == 0) return ""
    return "unreachable: ${report.unreachableTotal}, among them ${report.unreachable.joinToString(" ")}"
}
