package kingcuptide.coordination.process

import kotlin.time.Duration

/** A clock whose time tests set. */
internal class SettableClock : Clock {
    var time: Duration = Duration.ZERO

    override fun now(): Duration = time
}

internal fun hostEntry(name: String, failureDomain: String = "d1", region: String = "r1"): HostEntry = HostEntry(
    host = HostId(name),
    ip = "127.0.0.1",
    peerPort = 1,
    httpPort = 2,
    failureDomain = FailureDomainId(failureDomain),
    region = RegionId(region),
    service = ServiceId("s"),
)
