package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.KeyLookup
import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.Workspaces
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides by its API key whether a request is served, and for which workspace. */
public class AccessDecision(
    private val revocation: () -> RevocationSettings,
    private val knowledge: KeyKnowledge,
) {
    /**
     * Returns whether a request for [route] whose authorization header has the values [authorization] is served.
     *
     * A call that the target makes while it runs a request has no key and needs none. A key that is there must be valid,
     * whatever [evidence] there is that the request is a call.
     */
    public fun accessTo(
        route: ForwardRoute,
        workspaces: Workspaces,
        authorization: List<String>,
        evidence: CallEvidence,
    ): Access {
        if (authorization.isEmpty() && isCall(route, workspaces, evidence)) return Access.Granted(null, isCall = true)
        return when (val lookup = workspaces.find(authorization)) {
            KeyLookup.NotRequired -> Access.Granted(null, isCall = evidence == CallEvidence.ID)
            is KeyLookup.Found -> accessOf(lookup.workspace, route)
            is KeyLookup.Refused -> withoutKey(lookup, route)
        }
    }

    /** Where requests of callers need no key, the lack of one does not tell a call from them. */
    private fun isCall(route: ForwardRoute, workspaces: Workspaces, evidence: CallEvidence): Boolean =
        when (evidence) {
            CallEvidence.NONE -> false
            CallEvidence.TARGET_MAY_RUN -> workspaces.requireKey && !route.allowsAnonymous
            CallEvidence.ID -> true
        }

    private fun accessOf(workspace: Workspace, route: ForwardRoute): Access {
        doubt()?.let { return Access.Refused(ResultCode.KEYS_UNCONFIRMED, it, workspace) }
        if (homeRegionsOf(route, workspace) == null) {
            return Access.Refused(ResultCode.NO_TARGET, "route and workspace have no region in common", workspace)
        }
        return Access.Granted(workspace)
    }

    /** A key that this daemon does not know may be a new one if its keys may be outdated. */
    private fun withoutKey(lookup: KeyLookup.Refused, route: ForwardRoute): Access {
        if (route.allowsAnonymous) return Access.Granted(null)
        val doubt = if (lookup.code == ResultCode.KEY_UNKNOWN) doubt() else null
        if (doubt != null) return Access.Refused(ResultCode.KEYS_UNCONFIRMED, doubt, null)
        return Access.Refused(lookup.code, lookup.reason, null)
    }

    /** Returns why a key may have been revoked without the knowledge of this daemon, or null. */
    private fun doubt(): String? {
        if (!knowledge.isConfirmed) return "configuration not confirmed since the start"
        val settings = revocation()
        val isIsolated = settings.isStrict && knowledge.peerSilence > settings.maxPeerSilence
        return if (isIsolated) "no contact with another host for ${knowledge.peerSilence}" else null
    }
}

/** Whether a request is served. */
public sealed interface Access {
    /**
     * It is served, for [workspace] if it has the key of one.
     *
     * @property isCall whether the target beside the daemon has made it while it ran a request
     */
    public data class Granted(
        val workspace: Workspace?,
        val isCall: Boolean = false,
    ) : Access

    /** It is refused; [workspace] is that of its key if the key is known. */
    public data class Refused(
        val code: ResultCode,
        val reason: String,
        val workspace: Workspace?,
    ) : Access
}

/** What a daemon knows about the age of its API keys. */
public interface KeyKnowledge {
    /**
     * Whether the source, or a peer that reads it, has confirmed the configuration since this daemon started. The first
     * read of a daemon may be some seconds old, and so have keys that are revoked by now.
     */
    public val isConfirmed: Boolean

    /** Time since the last message from another host. */
    public val peerSilence: Duration
}

/**
 * How a daemon without contact treats API keys.
 *
 * @property isStrict whether it refuses them after [maxPeerSilence] without a message from another host
 */
public data class RevocationSettings(
    val isStrict: Boolean = false,
    val maxPeerSilence: Duration = 5.seconds,
)

/**
 * Returns the only regions that may serve a request of [workspace] for [route]; empty means any region. Null if there is
 * none: each of them names regions, and they have none in common.
 */
public fun homeRegionsOf(route: ForwardRoute, workspace: Workspace?): Set<RegionId>? {
    val ofWorkspace = workspace?.homeRegions.orEmpty()
    if (ofWorkspace.isEmpty()) return route.homeRegions
    if (route.homeRegions.isEmpty()) return ofWorkspace
    return route.homeRegions.intersect(ofWorkspace).ifEmpty { null }
}
