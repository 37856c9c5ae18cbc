package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.group.GroupRunner
import dev.kumquatknot.proxy.member.MemberGateway
import dev.kumquatknot.proxy.work.MemberHost
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Creates the client of a member. */
public typealias MemberPorts = (MemberConfiguration) -> MemberPort

/** Creates the runner that observes a database group through [ports]. */
internal typealias NewGroupRunner = (database: DatabaseConfiguration, ports: List<MemberPort>) -> GroupRunner

/**
 * Members that this VM serves: those whose gateway it is and, with a small share of connections, those for which other
 * VMs use it as a fallback while they cannot reach the gateway or disagree about it.
 *
 * Thread-safe; the lock is held while hosts are created and removed, never during a call to a member. Lock order: this
 * lock, then the locks of a gateway or runner.
 */
internal class MemberHosts(
    private val newPort: MemberPorts,
    private val newRunner: NewGroupRunner,
    private val clock: Clock,
    private val events: EventLog,
) {
    private val lock = ReentrantLock()
    private var configuration = FleetConfiguration.EMPTY
    private var ownedSince: Map<MemberName, Duration> = emptyMap()
    private val groups = HashMap<DatabaseName, HostedGroup>()

    /** Returns the host of [member], created on demand; null if the configuration in force has no such member. */
    fun find(database: DatabaseName, member: MemberName): MemberHost? = lock.withLock {
        val databaseConfiguration = configuration.database(database) ?: return null
        val memberConfiguration = databaseConfiguration.members.firstOrNull { it.name == member } ?: return null
        hostedGroup(databaseConfiguration).host(memberConfiguration).also { it.lastUsedAt = clock.elapsed() }.host
    }

    /** Returns the runner of [database], or null if this VM does not observe the group. */
    fun runner(database: DatabaseName): GroupRunner? = lock.withLock { groups[database]?.runner }

    /** Returns the longest time since the last answer of any member of [database] to this VM. */
    fun longestSilence(database: DatabaseName): Duration {
        val group = lock.withLock { groups[database] } ?: return Duration.ZERO
        return group.memberNames.mapNotNull { group.runner.vantage(it).lastResponseAge }.maxOrNull() ?: Duration.ZERO
    }

    /** Interrupts the work at members of [database] that this VM treated as its primary and that are not [primary]. */
    fun interruptSuperseded(database: DatabaseName, primary: MemberName) {
        val superseded = lock.withLock {
            val group = groups[database] ?: return
            val former = group.assumedPrimaries.filter { it != primary }
            group.assumedPrimaries = setOf(primary)
            former.mapNotNull { group.hosts[it]?.host }
        }
        superseded.forEach { it.gateway.interrupt() }
    }

    /** Returns the hosts of all groups at this moment. */
    fun all(): List<MemberHost> = lock.withLock {
        groups.values.flatMap { group ->
            group.hosts.values.map { it.host }
        }
    }

    /** Applies the configuration [next], in which this VM is the gateway of the members [owned]. */
    fun applyConfiguration(next: FleetConfiguration, owned: Set<MemberName>) = lock.withLock {
        val now = clock.elapsed()
        val changed = groups.keys.filter { next.database(it) != configuration.database(it) }
        changed.forEach { groups.remove(it)?.close() }
        configuration = next
        (owned - ownedSince.keys).forEach { events.log(Event.GATEWAY_TAKEN, "member" to it.value) }
        (ownedSince.keys - owned).forEach { events.log(Event.GATEWAY_GIVEN_UP, "member" to it.value) }
        ownedSince = owned.associateWith { ownedSince[it] ?: now }
        next.databases.forEach { database ->
            database.members.filter { it.name in owned }.forEach { hostedGroup(database).host(it) }
        }
    }

    /** Closes idle connections and removes unused hosts; to be called about once a second. */
    fun maintain() {
        val now = clock.elapsed()
        all().forEach { it.gateway.maintain() }
        lock.withLock {
            groups.values.forEach { group -> group.dropUnused(ownedSince.keys, now) }
            groups.values.filter { it.hosts.isEmpty() }.forEach { it.close() }
            groups.values.removeIf { it.hosts.isEmpty() }
        }
    }

    /** Closes all connections and stops the observation of all groups. */
    fun close() = lock.withLock {
        groups.values.forEach { it.close() }
        groups.clear()
        configuration = FleetConfiguration.EMPTY
    }

    private fun hostedGroup(database: DatabaseConfiguration): HostedGroup = groups.getOrPut(database.name) {
        val ports = database.members.map { newPort(it) }
        HostedGroup(database, ports, newRunner(database, ports).also { it.start() })
    }

    private fun share(member: MemberConfiguration): Int {
        val since = lock.withLock { ownedSince[member.name] }
        return ConnectionShare.of(member.connections, since?.let { clock.elapsed() - it })
    }

    private inner class HostedGroup(
        private val database: DatabaseConfiguration,
        private val ports: List<MemberPort>,
        val runner: GroupRunner,
    ) {
        val memberNames: List<MemberName> = database.members.map { it.name }
        val hosts = HashMap<MemberName, HostedMember>()

        /** Members that this VM has treated as the primary since the last change of primary. */
        var assumedPrimaries: Set<MemberName> = emptySet()

        fun host(member: MemberConfiguration): HostedMember = hosts.getOrPut(member.name) {
            val port = ports.first { it.member == member.name }
            val gateway = MemberGateway(member, port, clock, connectionShare = { share(member) })
            HostedMember(MemberHost(database, member, port, gateway, runner, clock), clock.elapsed())
        }

        fun dropUnused(owned: Set<MemberName>, now: Duration) {
            val unused = hosts.filter { (name, hostedMember) ->
                name !in owned && now - hostedMember.lastUsedAt > UNUSED_HOST_TIMEOUT
            }
            unused.forEach { (name, hostedMember) ->
                hostedMember.host.gateway.drain()
                hosts.remove(name)
            }
        }

        fun close() {
            runner.stop()
            hosts.values.forEach { it.host.gateway.drain() }
        }
    }

    private class HostedMember(val host: MemberHost, var lastUsedAt: Duration)

    private companion object {
        /** Time for which the unused host of a member with another gateway is kept; longer than any transaction. */
        val UNUSED_HOST_TIMEOUT = 90.seconds
    }
}
