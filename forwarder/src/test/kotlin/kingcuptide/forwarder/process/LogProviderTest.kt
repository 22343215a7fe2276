package kingcuptide.forwarder.process

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import org.junit.jupiter.api.Test
import org.slf4j.Logger
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** Guards against a daemon without log lines, or with those of a library's default configuration. */
internal class LogProviderTest {
    @Test
    fun `Given no configuration file, when logging starts, then lines of level info go to the bounded queue only`() {
        val provider = LogProvider().apply { initialize() }
        val context = provider.loggerFactory as LoggerContext
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        val appenders = root.iteratorForAppenders().asSequence().toList()
        try {
            expectThat(context.isStarted).isTrue()
            expectThat(root.level).isEqualTo(Level.INFO)
            expectThat(appenders).hasSize(1).get(0).isA<LogQueue>().get { isStarted }.isTrue()
            expectThat(context.getLogger("io.netty").level).isEqualTo(Level.ERROR)
        } finally {
            context.stop()
        }
    }
}
