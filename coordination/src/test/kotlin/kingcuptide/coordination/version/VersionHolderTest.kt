package kingcuptide.coordination.version

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs

internal class VersionHolderTest {
    private val holder = VersionHolder(::validate)

    private fun putInForce(content: ResourceContent) = holder.swap(
        holder.check(content).getOrThrow {
            IllegalStateException("$it")
        },
    )

    @Nested
    inner class `Given version 5 in force` {
        private val inForce = document(5)

        init {
            putInForce(inForce)
        }

        @Test
        fun `when version 4 arrives, then it is refused as a lower number`() {
            expectThat(holder.check(document(4)).getError()).isEqualTo(ResultCode.VERSION_FELL)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
        }

        @Test
        fun `when version 4 was validated before version 5 was put in force, then its swap is refused`() {
            val earlier = VersionHolder(::validate).check(document(4)).getOrThrow { IllegalStateException("$it") }
            expectThat(holder.swap(earlier).getError()).isEqualTo(ResultCode.VERSION_FELL)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
        }

        @Test
        fun `when a different content has number 5, then the one in force stays and the other is listed as rejected`() {
            val other = document(5, "route" to "other")
            expectThat(holder.check(other).getError()).isEqualTo(ResultCode.VERSION_CONFLICT)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
            expectThat(holder.rejected.single().version).isEqualTo(other.version)
        }

        @Test
        fun `when an invalid version 6 arrives, then nothing changes, and version 7 is put in force`() {
            val bad = document(6, "bad" to "x")
            expectThat(holder.check(bad).getError()).isEqualTo(ResultCode.DOCUMENT_BROKEN_REFERENCE)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
            expectThat(holder.rejected.single().version).isEqualTo(bad.version)
            putInForce(document(7))
            expectThat(holder.current?.value).isEqualTo("document 7")
        }
    }

    @Test
    fun `Given many invalid versions, when they are rejected, then only the newest are kept`() {
        (1L..40).forEach { holder.check(document(it, "bad" to "x")) }
        expectThat(holder.rejected).hasSize(VersionHolder.MAX_REJECTED)
        expectThat(holder.current).isNull()
    }

    @Test
    fun `Given an invalid version that was rejected, when it arrives again, then it is not validated again`() {
        var validations = 0
        val counting = VersionHolder { content -> validate(content).also { validations++ } }
        repeat(3) { counting.check(document(1, "bad" to "x")) }
        expectThat(validations).isEqualTo(1)
    }
}
