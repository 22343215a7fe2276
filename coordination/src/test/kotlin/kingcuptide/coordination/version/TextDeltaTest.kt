package kingcuptide.coordination.version

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.random.Random

internal class TextDeltaTest {
    private fun document(version: Int, routes: List<String>) =
        """{"version":$version,"rules":[${routes.joinToString(",") {
            """{"name":"$it","match":{"prefix":"/$it/"}}"""
        }}]}"""

    private fun size(delta: TextDelta) = delta.additions.sumOf { it.size } + 4 * delta.copies.size

    @Test
    fun `Given a document with one more route, when sent as a delta, then this is small and gives the text`() {
        val routes = List(300) { "route$it" }
        val base = document(7, routes).encodeToByteArray()
        val text = document(8, routes.take(120) + "fresh" + routes.drop(120)).encodeToByteArray()
        val delta = TextDelta.between(base, text)
        expectThat(size(delta)).isLessThan(200)
        expectThat(delta.applyTo(base)?.decodeToString()).isEqualTo(text.decodeToString())
    }

    @Test
    fun `Given two random texts, when the delta between them is applied, then the result is the second`() {
        val random = Random(5)
        repeat(500) {
            val base = text(random)
            val other = text(random)
            val result = TextDelta.between(
                base.encodeToByteArray(),
                other.encodeToByteArray(),
            ).applyTo(base.encodeToByteArray())
            expectThat(result?.decodeToString()).isEqualTo(other)
        }
    }

    @Test
    fun `Given a delta that does not fit its base, when it is applied, then the result is null`() {
        expectThat(TextDelta(listOf(3, 9), listOf(ByteArray(0), ByteArray(0))).applyTo(ByteArray(5))).isNull()
        expectThat(TextDelta(listOf(3), listOf(ByteArray(0))).applyTo(ByteArray(5))).isNull()
    }

    private fun text(random: Random) = String(CharArray(random.nextInt(60)) { "{ab"[random.nextInt(3)] })
}
