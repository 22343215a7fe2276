package kingcuptide.coordination.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Response to `GET /v1/explain`: where a request could currently be sent if this daemon received it.
 *
 * @property answeredBy the daemon whose view this is; the views of others may differ
 * @property version the version in force at that daemon, or null before the first one
 * @property refusal why this daemon would refuse the request before choosing a target, or null if it would not
 * @property route the route that the request matches, or null if none
 * @property idempotent whether the request is idempotent and may run more than once; null without a route
 * @property homeRegions the regions that may process the request; null if any may, or without a route
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

/** A host of the service; it could accept the request if [refusal] is null. */
@Serializable
public data class CandidateStateReport(
    val host: HostId,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val liveness: Liveness,
    val refusal: ReportedCode?,
)

/** A result code by number and name. A daemon of another release may report a code unknown to this release. */
@Serializable
public data class ReportedCode(
    val number: Int,
    val name: String,
)

/** Converts this code for use in reports. */
public fun ResultCode.toReportedCode(): ReportedCode = ReportedCode(number, name)
