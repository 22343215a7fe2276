package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/**
 * A message between two daemons that carries control, not requests.
 *
 * Any control message may be lost, delayed, repeated or reordered. Small ones travel as datagrams, large ones over a
 * connection; the sender does not choose.
 */
@Serializable
public sealed interface ControlMessage
