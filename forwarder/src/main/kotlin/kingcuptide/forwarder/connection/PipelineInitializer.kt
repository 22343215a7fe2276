package kingcuptide.forwarder.connection

import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer

/**
 * Builds the pipeline of each new channel with [build].
 *
 * Handlers say themselves whether they are sharable, as this and [CallerConnection] do. Netty would otherwise look for
 * an annotation of the class, and the JVM then generates classes for all annotations that Kotlin adds.
 */
internal class PipelineInitializer(
    private val build: (Channel) -> Unit,
) : ChannelInitializer<Channel>() {
    override fun isSharable(): Boolean = true

    override fun initChannel(channel: Channel) = build(channel)
}
