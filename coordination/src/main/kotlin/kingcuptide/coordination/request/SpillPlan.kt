package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId

/**
 * The share of the requests of a failure domain that goes elsewhere, by the demand and the capacity of all.
 *
 * Each domain keeps what fits below a common level, and the rest goes to domains with room, first in the own region. The
 * demand of callers does not depend on where requests go, so there is no feedback that could oscillate, as there is
 * with the queues in reports, which are seconds old. Below [MIN_LEVEL] near targets get all requests.
 *
 * @property toRegion share of the own domain's requests for other domains of the region
 * @property elsewhere share of its requests for other regions
 */
internal class SpillPlan(
    val toRegion: Double,
    val elsewhere: Double,
    private val roomShares: Map<FailureDomainId, Double>,
) {
    /** Returns the free part of the capacity of [domain], 1 if nothing is known of any. */
    fun roomShareOf(domain: FailureDomainId): Double =
        if (roomShares.isEmpty()) 1.0 else maxOf(roomShares[domain] ?: 0.0, MIN_ROOM_SHARE)

    /** Returns the plan for requests of which [shareOf] gives the share that leaves, if that share of all work does. */
    fun forRequests(shareOf: (Double) -> Double): SpillPlan {
        if (toRegion + elsewhere <= 0) return this
        val away = shareOf(elsewhere)
        return SpillPlan(maxOf(0.0, shareOf(toRegion + elsewhere) - away), away, roomShares)
    }

    companion object {
        /** All requests stay near. */
        val NONE = SpillPlan(0.0, 0.0, emptyMap())

        /** Load below which a failure domain keeps all of its requests. */
        const val MIN_LEVEL = 0.75

        /** Domains are filled to slightly more than the load of all, since the figures are seconds old. */
        const val LEVEL_MARGIN = 1.02
        const val MIN_ROOM_SHARE = 0.01

        /** Returns the plan of [own] among [balances] of all domains. */
        fun of(own: FailureDomainId, balances: List<DomainBalance>): SpillPlan {
            val capacity = balances.sumOf { it.capacity }
            val demand = balances.sumOf { it.demand }
            if (capacity <= 0 || demand <= 0) return NONE
            val level = maxOf(MIN_LEVEL, demand / capacity * LEVEL_MARGIN)
            val regions = balances.groupBy { it.region }.mapValues { (_, domains) -> RegionBalance(domains, level) }
            val rooms = balances.filter { it.capacity > 0 }.associate {
                it.domain to regions.getValue(it.region).roomShareLeft(it.region == regionOf(own, balances)) *
                    maxOf(0.0, level - it.demand / it.capacity)
            }
            val ownBalance = balances.firstOrNull { it.domain == own } ?: return SpillPlan(0.0, 0.0, rooms)
            if (ownBalance.movable <= 0) return SpillPlan(0.0, 0.0, rooms)
            val excess = maxOf(0.0, ownBalance.demand - level * ownBalance.capacity)
            val moved = minOf(1.0, excess / ownBalance.movable)
            val inRegion = regions.getValue(ownBalance.region).movedInRegion
            return SpillPlan(moved * inRegion, moved * (1 - inRegion), rooms)
        }

        private fun regionOf(domain: FailureDomainId, balances: List<DomainBalance>): RegionId? =
            balances.firstOrNull { it.domain == domain }?.region
    }

    private class RegionBalance(domains: List<DomainBalance>, level: Double) {
        private val excess = domains.sumOf { maxOf(0.0, it.demand - level * it.capacity) }
        private val room = domains.sumOf { maxOf(0.0, level * it.capacity - it.demand) }

        /** Share of the excess that has room in the region. */
        val movedInRegion: Double = if (excess > 0) minOf(1.0, room / excess) else 1.0

        /** Share of the room that is left to requests of other regions; all of it to those of this one. */
        fun roomShareLeft(isOwnRegion: Boolean): Double =
            if (isOwnRegion || room <= 0) 1.0 else maxOf(0.0, 1 - excess / room)
    }
}
