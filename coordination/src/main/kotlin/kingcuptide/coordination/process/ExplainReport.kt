package kingcuptide.coordination.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a daemon answers to `GET /v1/explain`: where a request could go at this moment if it came in at this daemon.
 *
 * @property answeredBy the daemon whose view this is; others may see something else
 * @property version the version in force there, or null before the first one
 * @property refusal why this daemon would refuse the request before it looks for a target, or null
 * @property route the route that the request belongs to, or null if it has none
 * @property idempotent whether the request may run more than once; null without a route
 * @property homeRegions where the request may be; null if anywhere or without a route
 * @property candidates the hosts of the service
 */
@Serializable
public data class ExplainReport(
    val answeredBy: HostId,
    val version: Long?,
    val refusal: ReportedCode?,
    val route: RouteId?,
    val service: ServiceId?,
    @SerialName("repeatable") val idempotent: Boolean?,
    val homeRegions: List<RegionId>?,
    val candidates: List<CandidateStateReport>,
)

/** A host of the service; it could take the request if [refusal] is null. */
@Serializable
public data class CandidateStateReport(
    val host: HostId,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val liveness: Liveness,
    val refusal: ReportedCode?,
)

/** A result code by number and name. A daemon of another release may report one that this release does not know. */
@Serializable
public data class ReportedCode(
    val number: Int,
    val name: String,
)

/** Returns this code in the form of reports. */
public fun ResultCode.toReportedCode(): ReportedCode = ReportedCode(number, name)
