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

    private fun put(content: ResourceContent) = holder.swap(
        holder.check(content).getOrThrow {
            IllegalStateException("$it")
        },
    )

    @Nested
    inner class `Given version 5 in force` {
        private val inForce = document(5)

        init {
            put(inForce)
        }

        @Test
        fun `when version 4 comes, then it is refused as fallen`() {
            expectThat(holder.check(document(4)).getError()).isEqualTo(ResultCode.VERSION_FELL)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
        }

        @Test
        fun `when version 4 was checked before version 5 went in force, then its swap is refused`() {
            val late = VersionHolder(::validate).check(document(4)).getOrThrow { IllegalStateException("$it") }
            expectThat(holder.swap(late).getError()).isEqualTo(ResultCode.VERSION_FELL)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
        }

        @Test
        fun `when another content comes under number 5, then the one in force stays and the other is shown`() {
            val other = document(5, "route" to "other")
            expectThat(holder.check(other).getError()).isEqualTo(ResultCode.VERSION_CONFLICT)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
            expectThat(holder.rejected.single().version).isEqualTo(other.version)
        }

        @Test
        fun `when a bad version 6 comes, then nothing changes, and version 7 goes in force`() {
            val bad = document(6, "bad" to "x")
            expectThat(holder.check(bad).getError()).isEqualTo(ResultCode.DOCUMENT_BROKEN_REFERENCE)
            expectThat(holder.current?.content).isSameInstanceAs(inForce)
            expectThat(holder.rejected.single().version).isEqualTo(bad.version)
            put(document(7))
            expectThat(holder.current?.value).isEqualTo("document 7")
        }
    }

    @Test
    fun `Given many bad versions, when they are refused, then only the newest are remembered`() {
        (1L..40).forEach { holder.check(document(it, "bad" to "x")) }
        expectThat(holder.rejected).hasSize(VersionHolder.MAX_REJECTED)
        expectThat(holder.current).isNull()
    }

    @Test
    fun `Given a bad version that was refused, when it comes again, then it is not validated again`() {
        var validations = 0
        val counting = VersionHolder { content -> validate(content).also { validations++ } }
        repeat(3) { counting.check(document(1, "bad" to "x")) }
        expectThat(validations).isEqualTo(1)
    }
}
