package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/**
 * A control message between two daemons; requests travel as [RequestFrame]s.
 *
 * Any control message may be lost, delayed, duplicated or reordered. Small messages are sent as datagrams, large ones
 * over a connection; the transport decides, not the sender.
 */
@Serializable
public sealed interface ControlMessage
