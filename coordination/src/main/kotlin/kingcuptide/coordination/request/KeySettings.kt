package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Durations and bounds of idempotency keys; they must be equal on all daemons.
 *
 * @property resendWindow how long a key still prevents another run after the first run could have ended
 * @property maxRemaining maximum remaining time of a keyed request when its key is claimed
 * @property maxStartDelay maximum delay between sending the claim and starting the request
 * @property viewFreshness how long a witness grants claims after its view of the fleet was last confirmed
 * @property confirmationLag how long a host may still confirm a view after another host of its failure domain got a
 *   newer one
 * @property resendDelay delay after which an unanswered claim is sent again, once
 * @property claimTimeout delay after which a claim without enough replies is given up
 * @property maxRecords maximum number of claims that a witness stores
 * @property maxOpenClaims maximum number of open claims of a gate
 */
public data class KeySettings(
    val resendWindow: Duration = 120.seconds,
    val maxRemaining: Duration = 30.seconds,
    val maxStartDelay: Duration = 2.seconds,
    val viewFreshness: Duration = 10.seconds,
    val confirmationLag: Duration = 5.seconds,
    val resendDelay: Duration = 50.milliseconds,
    val claimTimeout: Duration = 300.milliseconds,
    val maxRecords: Int = 32_768,
    val maxOpenClaims: Int = 1_024,
) {
    /** Maximum time for which a witness must store a claim. */
    val maxRetention: Duration
        get() = resendWindow + maxRemaining + maxStartDelay

    /** How long a witness must have been responsible for a key until it knows all earlier claims that may still run. */
    val holdOff: Duration
        get() = maxRetention + (viewFreshness + confirmationLag) * (COVERED_CHANGES + 1)
}

/**
 * How often the host of a slot may change within the last part of the hold-off while each of two hosts misses every
 * view with the other one in the slot. Both would consider themselves responsible without a break.
 */
private const val COVERED_CHANGES = 2
