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

/** Assignment of members to gateways for one configuration and one view of the fleet. Immutable but for a cache. */
internal class GatewayAssignment(private val configuration: FleetConfiguration, private val membership: Membership) {
    private val selection = GatewaySelection(configuration::region)
    private val candidates = ConcurrentHashMap<MemberName, List<VmRecord>>()

    /** Returns the gateway and the fallback gateways of [member], at most [GATEWAY_CANDIDATES]; cached by member. */
    fun gatewayCandidates(member: MemberConfiguration): List<VmRecord> = candidates.getOrPut(member.name) {
        selection.order(member.name.value, member.dataCentre, membership.usable).take(GATEWAY_CANDIDATES)
    }

    /** Returns the gateway of [member], or null if no VM accepts new work. */
    fun gateway(member: MemberConfiguration): VmRecord? =
        selection.gateway(member.name.value, member.dataCentre, membership.usable)

    /** Returns the names of all members whose gateway is [vm]. */
    fun membersOf(vm: VmName): Set<MemberName> = configuration.databases
        .flatMap { it.members }
        .filter { gateway(it)?.name == vm }
        .map { it.name }
        .toSet()

    /** Returns the rank of [vm] among the gateways of the group; the VM with rank 0 orders a promotion first. */
    fun coordinatorRank(database: DatabaseConfiguration, vm: VmName): Int {
        val gateways = database.members.mapNotNull { gateway(it) }.distinctBy { it.name }
        val first = database.members.first()
        val order = selection.order(database.name.value, first.dataCentre, gateways)
        val rank = order.indexOfFirst { it.name == vm }
        return if (rank >= 0) rank else order.size
    }

    companion object {
        private const val GATEWAY_CANDIDATES = 3

        /** Returns the assignment without any members, for use before a configuration is known. */
        fun none(self: VmRecord): GatewayAssignment = GatewayAssignment(FleetConfiguration.EMPTY, Membership(self))
    }
}
