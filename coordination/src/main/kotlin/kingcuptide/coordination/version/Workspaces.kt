package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode

/**
 * The workspaces of one accepted version, by the digests of their API keys. Immutable.
 *
 * @property all the workspaces that could be read
 * @param keys the keys of these workspaces; one that belongs to two of them is refused
 * @property scheme authentication scheme that precedes a key in a request
 * @property requireKey whether requests need an API key, unless their route allows anonymous requests; true also if the
 * configuration has workspaces but none of them could be read
 */
public class Workspaces(
    public val all: List<Workspace>,
    keys: List<WorkspaceKey> = emptyList(),
    public val scheme: String = "Bearer",
    public val requireKey: Boolean = all.isNotEmpty(),
) {
    private val owners: List<Workspace> = keys.mapTo(LinkedHashSet()) { it.workspace }.toList()
    private val table = KeyTable(keys.size)

    /** Number of keys that a workspace shares with another one, by the name of the workspace; such keys are refused. */
    public val sharedKeys: Map<String, Int>

    init {
        val numbers = owners.withIndex().associate { (index, workspace) -> workspace to index + 1 }
        val shared = HashMap<String, Int>()
        for (key in keys) {
            val owner = numbers.getValue(key.workspace)
            val earlier = table.add(key.digest, owner)
            if (earlier == KeyTable.UNKNOWN) continue
            shared.merge(key.workspace.name, 1, Int::plus)
            if (earlier != KeyTable.SHARED) shared.merge(owners[earlier - 1].name, 1, Int::plus)
        }
        sharedKeys = shared
    }

    /** Number of different keys. */
    public val keyCount: Int get() = table.size

    /** Returns whose key the values [authorization] of a request's header contain. */
    public fun find(authorization: List<String>): KeyLookup {
        if (!requireKey) return KeyLookup.NotRequired
        if (authorization.isEmpty()) return KeyLookup.Refused(ResultCode.KEY_MISSING, "no key")
        val value = authorization.singleOrNull()?.trim() ?: return unknown("more than one authorization header")
        val givenScheme = value.substringBefore(' ')
        if (!givenScheme.equals(scheme, ignoreCase = true)) return unknown("other authorization scheme")
        val key = value.substring(givenScheme.length).trim()
        return when {
            key.isEmpty() -> unknown("empty key")
            key.length > MAX_KEY_CHARS -> unknown("key longer than $MAX_KEY_CHARS characters")
            !isKey(key) -> unknown("key with a character that is not visible ASCII")
            else -> find(KeyDigest.of(key))
        }
    }

    private fun find(digest: KeyDigest): KeyLookup = when (val owner = table.ownerOf(digest)) {
        KeyTable.UNKNOWN -> unknown("no workspace has the key")
        KeyTable.SHARED -> unknown("more than one workspace has the key")
        else -> KeyLookup.Found(owners[owner - 1])
    }

    private fun unknown(reason: String) = KeyLookup.Refused(ResultCode.KEY_UNKNOWN, reason)

    public companion object {
        /** A configuration without workspaces: no request needs a key. */
        public val NONE: Workspaces = Workspaces(emptyList())

        /** Maximum length of an API key. */
        public const val MAX_KEY_CHARS: Int = 256
        private val VISIBLE_ASCII = '!'..'~'

        /** Returns whether a request can contain [text] as its key. */
        public fun isKey(text: String): Boolean = text.length in 1..MAX_KEY_CHARS && text.all { it in VISIBLE_ASCII }
    }
}

/** Result of looking up the API key of a request. */
public sealed interface KeyLookup {
    /** The configuration has no workspaces, so no request needs a key. */
    public data object NotRequired : KeyLookup

    /** The key belongs to [workspace]. */
    public data class Found(
        val workspace: Workspace,
    ) : KeyLookup

    /** There is no key that counts; [reason] says why without the key. */
    public data class Refused(
        val code: ResultCode,
        val reason: String,
    ) : KeyLookup
}

/** The digest of one API key of [workspace]. */
public class WorkspaceKey(
    public val digest: KeyDigest,
    public val workspace: Workspace,
)

/**
 * A customer whose requests carry one of its API keys.
 *
 * @property priority replaces the priority of the route; null leaves it
 * @property ratePerSecond requests a second that all hosts together serve; 0 means no limit
 * @property burst requests that may be served at once beyond the rate
 * @property homeRegions the only regions that may serve its requests; empty means any region
 */
public data class Workspace(
    val name: String,
    val priority: Int?,
    val ratePerSecond: Double,
    val burst: Double,
    val homeRegions: Set<RegionId>,
)
