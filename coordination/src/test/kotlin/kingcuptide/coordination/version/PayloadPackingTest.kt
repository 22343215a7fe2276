package kingcuptide.coordination.version

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

internal class PayloadPackingTest {
    private val base = largeDocument(2_000, Random(SEED)).toContent()
    private val target = largeDocument(2_010, Random(SEED), version = 2).toContent()

    @Nested
    inner class `Given a payload` {
        @Test
        fun `when a whole version is encoded and decoded, then it is equal`() {
            val unpacked = unpackWhole(packWhole(base)).get()
            expectThat(unpacked?.version).isEqualTo(base.version)
            expectThat(unpacked?.entries).isEqualTo(base.entries)
        }

        @Test
        fun `when a delta is encoded and decoded, then it is equal`() {
            val delta = base.deltaTo(target)
            expectThat(unpackDelta(packDelta(delta)).get()).isEqualTo(delta)
        }

        @Test
        fun `when a whole version is encoded, then it is smaller than its entries`() {
            val plain = base.entries.entries.sumOf { it.key.length + it.value.length }
            expectThat(packWhole(base).size).isLessThan(plain / 4)
        }
    }

    @Nested
    inner class `Given bytes that are not a payload` {
        @Test
        fun `when they exceed the bound after decompression, then they are too large`() {
            val bomb = deflate(ByteArray(MAX_INFLATED_BYTES + 1))
            expectThat(bomb.size).isLessThan(10_000)
            expectThat(unpackWhole(bomb).getError()).isEqualTo(ResultCode.PEER_FRAME_TOO_LARGE)
            expectThat(unpackDelta(bomb).getError()).isEqualTo(ResultCode.PEER_FRAME_TOO_LARGE)
        }

        @Test
        fun `when they are truncated, empty or have trailing bytes, then they are malformed`() {
            val whole = packWhole(base)
            val bad = listOf(ByteArray(0), whole.copyOf(whole.size / 2), whole.copyOf(whole.size - 1), whole + 0)
            for (bytes in bad) expectThat(unpackWhole(bytes).getError()).isEqualTo(ResultCode.PEER_FRAME_MALFORMED)
        }

        @Test
        fun `when the entries do not match the digest, then they are malformed`() {
            val inflated = inflate(packWhole(base), MAX_INFLATED_BYTES).get()!!
            val changed = inflated.copyOf().also { it[it.size - 2] = (it[it.size - 2] + 1).toByte() }
            expectThat(unpackWhole(deflate(changed)).getError()).isEqualTo(ResultCode.PEER_FRAME_MALFORMED)
        }

        @Test
        fun `when they are mutated, then decoding never throws`() {
            val small = sampleDocument().toContent()
            val delta = small.deltaTo(sampleDocument(2).copy(workspaces = emptyMap()).toContent())
            val random = Random(SEED)
            println("seed=$SEED")
            repeat(ROUNDS) {
                val inflated = inflate(packWhole(small), MAX_INFLATED_BYTES).get()!!
                mutate(inflated, random)
                unpackWhole(deflate(inflated)).getError()?.let { expectThat(it).isContainedIn(CODES) }
                val packed = packDelta(delta)
                mutate(packed, random)
                unpackDelta(packed).getError()?.let { expectThat(it).isContainedIn(CODES) }
                val inflatedDelta = inflate(packDelta(delta), MAX_INFLATED_BYTES).get()!!
                mutate(inflatedDelta, random)
                unpackDelta(deflate(inflatedDelta)).getError()?.let { expectThat(it).isContainedIn(CODES) }
            }
        }

        private fun mutate(bytes: ByteArray, random: Random) {
            repeat(random.nextInt(1, 8)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        }
    }

    private companion object {
        const val SEED = 4711L
        const val ROUNDS = 3_000
        val CODES = listOf(ResultCode.PEER_FRAME_MALFORMED, ResultCode.PEER_FRAME_TOO_LARGE)
    }
}
