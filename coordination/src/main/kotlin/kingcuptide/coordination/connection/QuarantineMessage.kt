package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.request.Fingerprint
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Quarantine control messages. */
@Serializable
public sealed interface QuarantineMessage : ControlMessage

/** One crash of a target, identified by its daemon's [host] and a [number] unique to that daemon. */
@Serializable
public data class TargetCrash(
    val host: HostId,
    val number: Long,
)

/**
 * Target crashes attributed to requests with one fingerprint.
 *
 * Records of several daemons merge by the union of [deaths], so order and duplicates do not matter.
 *
 * @property deaths at most two crashes; the second quarantines the fingerprint
 * @property remainingMs time until the record expires; each daemon counts it down by its own clock
 * @property homeRegions the only regions that the record may be sent to; empty means all
 */
@Serializable
public data class SuspectRecord(
    val fingerprint: Fingerprint,
    val deaths: List<TargetCrash>,
    val remainingMs: Long,
    val homeRegions: Set<RegionId> = emptySet(),
)

/** Records that may be new to the receiver, which forwards those that are while [hopsLeft] is above zero. */
@Serializable
@SerialName("suspects")
public data class SuspectsUpdate(
    val records: List<SuspectRecord>,
    val hopsLeft: Int,
) : QuarantineMessage

/** Digest of all records that both sender and receiver may store; a receiver whose digest differs sends its records. */
@Serializable
@SerialName("suspectsDigest")
public data class SuspectsDigest(
    val digest: Long,
    val count: Int,
) : QuarantineMessage
