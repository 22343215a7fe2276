package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.request.Fingerprint
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Quarantine control messages. */
@Serializable
public sealed interface QuarantineMessage : ControlMessage

/** One death of a target, named by the daemon beside it. */
@Serializable
public data class TargetCrash(
    val host: HostId,
    val number: Long,
)

/**
 * What a daemon holds against one fingerprint.
 *
 * Records of several daemons merge by the union of [deaths], so that order and repetition do not matter.
 *
 * @property deaths at most two; with the second the fingerprint is quarantined
 * @property remainingMs time until the record is forgotten; every daemon counts it down by its own clock
 * @property homeRegions the only regions that the record may be sent to; empty means all
 */
@Serializable
public data class SuspectRecord(
    val fingerprint: Fingerprint,
    val deaths: List<TargetCrash>,
    val remainingMs: Long,
    val homeRegions: Set<RegionId> = emptySet(),
)

/** Records that the receiver may not have; it sends those that are new to it on while [hopsLeft] is above zero. */
@Serializable
@SerialName("suspects")
public data class SuspectsUpdate(
    val records: List<SuspectRecord>,
    val hopsLeft: Int,
) : QuarantineMessage

/** A digest over all records that the sender and the receiver may both hold; a receiver with another one sends its own. */
@Serializable
@SerialName("suspectsDigest")
public data class SuspectsDigest(
    val digest: Long,
    val count: Int,
) : QuarantineMessage
