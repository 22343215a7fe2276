package kingcuptide.coordination.request

import kotlin.time.Duration

/**
 * The rules that together prevent a key from running twice. Tests disable one at a time to show that it is needed.
 *
 * @property quorum how many witnesses must grant a claim
 * @property holdOff how long a witness must have been responsible for a key before it grants a claim
 * @property checksView whether a witness compares the claim's witnesses with its own view, or trusts the claim
 * @property checksFreshness whether a witness needs a view that was confirmed recently
 * @property resetsAfterGap whether the hold-off starts again once the witness's view was unconfirmed for too long
 * @property limitsStartDelay whether a granted request must start within [KeySettings.maxStartDelay]
 */
internal data class KeyRules(
    val quorum: Int,
    val holdOff: Duration,
    val checksView: Boolean = true,
    val checksFreshness: Boolean = true,
    val resetsAfterGap: Boolean = true,
    val limitsStartDelay: Boolean = true,
)

/** Returns the rules used in production. */
internal fun keyRules(settings: KeySettings): KeyRules = KeyRules(WITNESS_QUORUM, settings.holdOff)
