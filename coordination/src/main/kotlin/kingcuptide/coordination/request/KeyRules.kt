package kingcuptide.coordination.request

import kotlin.time.Duration

/**
 * The rules that together keep a key from running twice. Tests take one away at a time to show what it is for.
 *
 * @property quorum how many witnesses must grant a claim
 * @property holdOff how long a witness must have been responsible for a key
 * @property checksView whether a witness compares the claim's witnesses with its own view, or trusts the claim
 * @property checksFreshness whether a witness needs a view that was confirmed recently
 * @property breaksOnGap whether a witness becomes young when its view was not confirmed for a while
 * @property limitsStart whether a granted request may only start soon after its claim was sent
 */
internal data class KeyRules(
    val quorum: Int,
    val holdOff: Duration,
    val checksView: Boolean = true,
    val checksFreshness: Boolean = true,
    val breaksOnGap: Boolean = true,
    val limitsStart: Boolean = true,
)

/** Returns the rules that hold outside tests. */
internal fun keyRules(settings: KeySettings): KeyRules = KeyRules(WITNESS_QUORUM, settings.holdOff)
