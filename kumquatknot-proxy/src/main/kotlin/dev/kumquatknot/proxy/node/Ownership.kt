package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.GatewaySelection
import dev.kumquatknot.core.membership.Membership
import dev.kumquatknot.core.membership.VmRecord
import java.util.concurrent.ConcurrentHashMap

/** Which VM is the gateway of which member, by one configuration and one view of the fleet. Immutable. */
internal class Ownership(private val configuration: FleetConfiguration, private val membership: Membership) {
    private val selection = GatewaySelection(configuration::region)
    private val candidates = ConcurrentHashMap<MemberName, List<VmRecord>>()

    /** Returns the gateway of [member] and its deputies, at most [CANDIDATES]; worked out once for each member. */
    fun order(member: MemberConfiguration): List<VmRecord> = candidates.getOrPut(member.name) {
        selection.order(member.name.value, member.dataCentre, membership.usable).take(CANDIDATES)
    }

    /** Returns the gateway of [member], or null where no VM takes new work. */
    fun gateway(member: MemberConfiguration): VmRecord? =
        selection.gateway(member.name.value, member.dataCentre, membership.usable)

    /** Returns the members whose gateway is [vm]. */
    fun membersOf(vm: VmName): Set<MemberName> = configuration.databases
        .flatMap { it.members }
        .filter { gateway(it)?.name == vm }
        .map { it.name }
        .toSet()

    /** Returns the place of [vm] among the gateways of the group; the first orders a promotion. */
    fun coordinatorRank(database: DatabaseConfiguration, vm: VmName): Int {
        val gateways = database.members.mapNotNull { gateway(it) }.distinctBy { it.name }
        val first = database.members.first()
        val order = selection.order(database.name.value, first.dataCentre, gateways)
        val rank = order.indexOfFirst { it.name == vm }
        return if (rank >= 0) rank else order.size
    }

    companion object {
        private const val CANDIDATES = 3

        /** Ownership before any configuration is known. */
        fun none(self: VmRecord): Ownership = Ownership(FleetConfiguration.EMPTY, Membership(self))
    }
}
