package dev.kumquatknot.standin.history

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.standin.database.MemberFault
import dev.kumquatknot.standin.fleet.LocalFleet
import kotlinx.serialization.json.Json
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.CopyOnWriteArraySet

/** Carries faults out on a fleet and heals them. Used by one thread; [gone] may be read by all. */
class FaultInjector(private val fleet: LocalFleet, private val random: UniformRandomProvider) {
    /** Nodes to which callers are no longer sent. */
    val gone = CopyOnWriteArraySet<Int>()
    private var leaving: Int? = null

    fun inject(fault: Fault) {
        when (fault) {
            Fault.NODE_CUT_OFF -> fleet.network.cut(vm())
            Fault.NODE_ANSWERS_LOST -> fleet.network.loseAnswers(vm())
            Fault.NODE_KILLED -> fleet.kill(takeNode())
            Fault.NODE_LEAVING -> leaving = takeNode().also { fleet.nodes[it].leave() }
            Fault.STORE_DOWN -> fleet.store.setDown(true)
            Fault.RACING_CONFIGURATIONS -> raceConfigurations()
            Fault.REPLICA_LAG -> replicas().forEach { set(it, MemberFault.SetReplicationLag(LAG_MILLIS)) }
            else -> injectAtMember(fault)
        }
    }

    private fun injectAtMember(fault: Fault) = when (fault) {
        Fault.PRIMARY_ISOLATED_FROM_VMS -> set(primary(), MemberFault.IsolateFromVms())
        Fault.PRIMARY_ISOLATED_FROM_SOME_VMS -> set(primary(), MemberFault.IsolateFromVms(setOf(vm(), vm())))
        Fault.PRIMARY_ISOLATED_FROM_MEMBERS -> set(primary(), MemberFault.IsolateFromMembers)
        Fault.PRIMARY_ISOLATED -> isolate(primary())
        Fault.PRIMARY_STOPPED -> set(primary(), MemberFault.Stop)
        Fault.REPLICA_STOPPED -> set(replicas().let { it[random.nextInt(it.size)] }, MemberFault.Stop)
        Fault.SILENT_CONNECTIONS -> set(member(), MemberFault.SilenceConnections)
        Fault.LATE_ANSWERS -> set(member(), MemberFault.DelayAnswers(LATE_MILLIS))
        Fault.LOST_COMMIT_ANSWERS -> set(primary(), MemberFault.LoseCommitAnswers(LOST_ANSWERS))
        Fault.SLOW_PRIMARY -> set(primary(), MemberFault.SlowDown(SLOWNESS))
        else -> error("$fault is no fault of a member")
    }

    private fun isolate(member: MemberName) {
        set(member, MemberFault.IsolateFromVms())
        set(member, MemberFault.IsolateFromMembers)
    }

    private fun takeNode(): Int = liveNode().also { gone += it }

    fun heal() {
        fleet.group.memberNames.forEach {
            set(it, MemberFault.Heal)
            set(it, MemberFault.Start)
            set(it, MemberFault.SetReplicationLag(USUAL_LAG_MILLIS))
        }
        fleet.network.heal()
        fleet.store.setDown(false)
        leaving?.let { fleet.kill(it) }
        leaving = null
    }

    private fun raceConfigurations() {
        val stored = fleet.store.read(FleetConfiguration.STORE_KEY).getOrNull() ?: return
        val current = Json.decodeFromString(FleetConfiguration.serializer(), stored.value)
        val next = Json.encodeToString(FleetConfiguration.serializer(), current.copy(number = current.number + 1))
        repeat(RACERS) { fleet.store.write(FleetConfiguration.STORE_KEY, next, stored.version) }
    }

    private fun set(member: MemberName, fault: MemberFault) = fleet.group.set(member, fault)

    private fun members() = fleet.group.memberNames

    private fun member() = members()[random.nextInt(members().size)]

    private fun primary(): MemberName = fleet.nodes.indices.filter { it !in gone }
        .mapNotNull { fleet.nodes[it].primary(LocalFleet.DATABASE) }
        .maxByOrNull { it.term }?.primary ?: members().first()

    private fun replicas() = members() - primary()

    private fun liveNode(): Int = fleet.nodes.indices.filter { it !in gone }.let { it[random.nextInt(it.size)] }

    private fun vm() = VmName("entry-${liveNode()}")

    private companion object {
        const val LAG_MILLIS = 400L
        const val USUAL_LAG_MILLIS = 3L
        const val LATE_MILLIS = 150L
        const val LOST_ANSWERS = 5
        const val SLOWNESS = 40.0
        const val RACERS = 2
    }
}
