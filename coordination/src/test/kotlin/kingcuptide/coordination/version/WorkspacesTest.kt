package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class WorkspacesTest {
    private val acme = Workspace("acme", null, 0.0, 0.0, emptySet())
    private val other = acme.copy(name = "other")

    private fun workspacesOf(vararg keys: Pair<String, Workspace>): Workspaces =
        Workspaces(listOf(acme, other), keys.map { WorkspaceKey(KeyDigest.of(it.first), it.second) }, "Token")

    private fun codeOf(workspaces: Workspaces, vararg values: String): ResultCode? =
        (workspaces.find(values.toList()) as? KeyLookup.Refused)?.code

    @Nested
    inner class `Authorization values` {
        private val workspaces = workspacesOf("k1" to acme, "x".repeat(256) to other)

        @Test
        fun `Given a known key, when it is looked up, then its workspace is found whatever the case of the scheme`() {
            for (value in listOf("Token k1", "token  k1 ", "TOKEN k1")) {
                expectThat(workspaces.find(listOf(value))).isEqualTo(KeyLookup.Found(acme))
            }
            expectThat(workspaces.find(listOf("Token " + "x".repeat(256)))).isEqualTo(KeyLookup.Found(other))
        }

        @Test
        fun `Given anything else, when it is looked up, then it is refused`() {
            expectThat(codeOf(workspaces)).isEqualTo(ResultCode.KEY_MISSING)
            val values =
                listOf("", "Token", "Token ", "k1", "Bearer k1", "Tokenk1", "Token k2", "Token k1,k1", "Token k1 k1")
            for (value in values + ("Token " + "x".repeat(257))) {
                expectThat(codeOf(workspaces, value)).isEqualTo(ResultCode.KEY_UNKNOWN)
            }
            expectThat(codeOf(workspaces, "Token k1", "Token k1")).isEqualTo(ResultCode.KEY_UNKNOWN)
        }

        @Test
        fun `Given a configuration without workspaces, when nothing is given, then no key is needed`() {
            expectThat(Workspaces.NONE.find(emptyList())).isEqualTo(KeyLookup.NotRequired)
        }
    }

    @Nested
    inner class `Keys of a version` {
        @Test
        fun `Given 10,000 keys, when each is looked up, then it has its workspace and no other key has one`() {
            val keys = (0 until 10_000).map { "key-$it" to if (it % 2 == 0) acme else other }
            val workspaces = workspacesOf(*keys.toTypedArray())
            for ((key, owner) in keys) {
                expectThat(workspaces.find(listOf("Token $key"))).isEqualTo(KeyLookup.Found(owner))
                expectThat(workspaces.find(listOf("Token x$key"))).isA<KeyLookup.Refused>()
            }
            expectThat(workspaces.keyCount).isEqualTo(10_000)
        }

        @Test
        fun `Given a key of two workspaces, when it is looked up, then neither has it, whatever their order`() {
            for (owners in listOf(listOf(acme, other), listOf(other, acme), listOf(acme, other, acme))) {
                val shared = owners.map { "shared" to it } + ("own" to acme) + ("own" to acme)
                val workspaces = workspacesOf(*shared.toTypedArray())
                expectThat(codeOf(workspaces, "Token shared")).isEqualTo(ResultCode.KEY_UNKNOWN)
                expectThat(workspaces.find(listOf("Token own"))).isEqualTo(KeyLookup.Found(acme))
                expectThat(workspaces.sharedKeys.keys).isEqualTo(setOf("acme", "other"))
            }
        }

        @Test
        fun `Given digests that differ in one half only, when they are looked up, then they are different keys`() {
            val table = KeyTable(3)
            table.add(KeyDigest(1, 1), 1)
            table.add(KeyDigest(1, 2), 2)
            expectThat(table.ownerOf(KeyDigest(1, 1))).isEqualTo(1)
            expectThat(table.ownerOf(KeyDigest(1, 2))).isEqualTo(2)
            expectThat(table.ownerOf(KeyDigest(1, 3))).isEqualTo(KeyTable.UNKNOWN)
            expectThat(table.ownerOf(KeyDigest(17, 1))).isEqualTo(KeyTable.UNKNOWN)
        }

        @Test
        fun `Given the form of a digest that is sent, when it is parsed, then it is the same digest`() {
            val digest = KeyDigest.of("k1")
            expectThat(KeyDigest.parse(digest.encoded())).isNotNull().get { high to low }.isEqualTo(
                digest.high to digest.low,
            )
            for (text in listOf("", "k1", "?".repeat(22), "A".repeat(23))) expectThat(KeyDigest.parse(text)).isNull()
        }

        @Test
        fun `Given a key, when it is digested, then the digest begins as that of SHA-256 does`() {
            // SHA-256("abc") is ba7816bf 8f01cfea 414140de 5dae2223...
            expectThat(KeyDigest.of("abc").high).isEqualTo(-0x4587e94070fe3016L)
            expectThat(KeyDigest.of("abc").low).isEqualTo(0x414140de5dae2223L)
        }
    }
}
