package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times and bounds of idempotency keys, alike on all daemons.
 *
 * @property resendWindow how long after a run could have ended the key still stops another
 * @property maxRemaining greatest time that a keyed request may have left when it is claimed
 * @property maxStartDelay how long after the gate sent its claim the request may start
 * @property viewFreshness how long a witness grants after its view of the fleet was last confirmed
 * @property confirmationLag how long after one host of a failure domain holds a newer view another may still confirm an
 *   older one
 * @property resendAfter when a claim without an answer is sent again, once
 * @property giveUpAfter when a claim without enough answers is given up
 * @property maxRecords claims that a witness remembers
 * @property maxClaims claims that a gate has open
 */
public data class KeySettings(
    val resendWindow: Duration = 120.seconds,
    val maxRemaining: Duration = 30.seconds,
    val maxStartDelay: Duration = 2.seconds,
    val viewFreshness: Duration = 10.seconds,
    val confirmationLag: Duration = 5.seconds,
    val resendAfter: Duration = 50.milliseconds,
    val giveUpAfter: Duration = 300.milliseconds,
    val maxRecords: Int = 32_768,
    val maxClaims: Int = 1_024,
) {
    /** Longest time for which a witness must remember a claim. */
    val maxRetention: Duration
        get() = resendWindow + maxRemaining + maxStartDelay

    /** How long a witness must have been responsible for a key before it knows all earlier claims that matter. */
    val holdOff: Duration
        get() = maxRetention + (viewFreshness + confirmationLag) * (COVERED_CHANGES + 1)
}

/**
 * How often the host of a slot may change within the last part of the hold-off while each of two hosts misses every view
 * that names the other. Both of them would count as responsible all the time.
 */
private const val COVERED_CHANGES = 2
