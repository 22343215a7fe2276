package kingcuptide.forwarder.process

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * Provides Logback, configured by [LogConfigurator], to SLF4J.
 *
 * The provider of Logback itself searches for configurators and reads their annotations and the versions of its jars, for
 * which the JVM generates classes at each start. A program names this class in the property `slf4j.provider`.
 */
class LogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun initialize() {
        context.name = "default"
        context.mdcAdapter = mdc
        val configurator = LogConfigurator()
        configurator.context = context
        configurator.configure(context)
        context.start()
    }

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = "2.0.99"
}
