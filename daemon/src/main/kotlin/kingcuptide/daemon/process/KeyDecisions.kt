package kingcuptide.daemon.process

import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostId

/** The decisions on idempotency keys that the control coroutine drives. */
interface KeyDecisions {
    fun receive(from: HostId, message: KeyMessage): List<Outbound>

    fun tick(): List<Outbound>
}

/** Decides nothing. */
object NoKeyDecisions : KeyDecisions {
    override fun receive(from: HostId, message: KeyMessage): List<Outbound> = emptyList()

    override fun tick(): List<Outbound> = emptyList()
}
