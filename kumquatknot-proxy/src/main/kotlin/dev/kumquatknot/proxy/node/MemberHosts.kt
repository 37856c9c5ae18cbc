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

/** Makes the port of a member. */
public typealias MemberPorts = (MemberConfiguration) -> MemberPort

/** Makes the runner that observes a database group through [ports]. */
internal typealias NewGroupRunner = (database: DatabaseConfiguration, ports: List<MemberPort>) -> GroupRunner

/**
 * The members that this VM serves: those whose gateway it is, and, with a small share of connections, those for which
 * other VMs ask it while they cannot reach the gateway or disagree about it.
 *
 * Thread-safe; its lock is held while hosts are made and dropped, never during a call to a member. Lock order: this
 * lock, then those of a gateway or runner.
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

    /** Returns the host of [member], made as needed; null where the configuration in force has no such member. */
    fun find(database: DatabaseName, member: MemberName): MemberHost? = lock.withLock {
        val databaseConfiguration = configuration.database(database) ?: return null
        val memberConfiguration = databaseConfiguration.members.firstOrNull { it.name == member } ?: return null
        hosted(databaseConfiguration).host(memberConfiguration).also { it.usedAt = clock.elapsed() }.host
    }

    /** Returns the runner of [database] if this VM observes the group. */
    fun runner(database: DatabaseName): GroupRunner? = lock.withLock { groups[database]?.runner }

    /** Returns the longest time for which a member of [database] has not answered this VM. */
    fun lastGap(database: DatabaseName): Duration {
        val group = lock.withLock { groups[database] } ?: return Duration.ZERO
        return group.memberNames.mapNotNull { group.runner.vantage(it).lastResponseAge }.maxOrNull() ?: Duration.ZERO
    }

    /** Ends the work under way at members of [database] that were taken for its primary and are not [primary]. */
    fun interruptSuperseded(database: DatabaseName, primary: MemberName) {
        val superseded = lock.withLock {
            val group = groups[database] ?: return
            val former = group.servedAs.filter { it != primary }
            group.servedAs = setOf(primary)
            former.mapNotNull { group.hosts[it]?.host }
        }
        superseded.forEach { it.gateway.interrupt() }
    }

    /** Returns all hosts. */
    fun all(): List<MemberHost> = lock.withLock {
        groups.values.flatMap { group ->
            group.hosts.values.map { it.host }
        }
    }

    /** Applies a configuration and the members whose gateway this VM is by it. */
    fun apply(next: FleetConfiguration, owned: Set<MemberName>) = lock.withLock {
        val now = clock.elapsed()
        val changed = groups.keys.filter { next.database(it) != configuration.database(it) }
        changed.forEach { groups.remove(it)?.close() }
        configuration = next
        (owned - ownedSince.keys).forEach { events.log(Event.GATEWAY_TAKEN, "member" to it.value) }
        (ownedSince.keys - owned).forEach { events.log(Event.GATEWAY_GIVEN_UP, "member" to it.value) }
        ownedSince = owned.associateWith { ownedSince[it] ?: now }
        next.databases.forEach { database ->
            database.members.filter { it.name in owned }.forEach { hosted(database).host(it) }
        }
    }

    /** Trims connections and drops what is no longer used; to be called about every second. */
    fun maintain() {
        val now = clock.elapsed()
        all().forEach { it.gateway.maintain() }
        lock.withLock {
            groups.values.forEach { group -> group.dropUnused(ownedSince.keys, now) }
            groups.values.filter { it.hosts.isEmpty() }.forEach { it.close() }
            groups.values.removeIf { it.hosts.isEmpty() }
        }
    }

    /** Closes all connections and ends all observation. */
    fun close() = lock.withLock {
        groups.values.forEach { it.close() }
        groups.clear()
        configuration = FleetConfiguration.EMPTY
    }

    private fun hosted(database: DatabaseConfiguration): HostedGroup = groups.getOrPut(database.name) {
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

        /** Members that were known as the primary since the last change. */
        var servedAs: Set<MemberName> = emptySet()

        fun host(member: MemberConfiguration): HostedMember = hosts.getOrPut(member.name) {
            val port = ports.first { it.member == member.name }
            val gateway = MemberGateway(member, port, clock, connectionShare = { share(member) })
            HostedMember(MemberHost(database, member, port, gateway, runner, clock), clock.elapsed())
        }

        fun dropUnused(owned: Set<MemberName>, now: Duration) {
            val unused = hosts.filter { (name, hosted) -> name !in owned && now - hosted.usedAt > KEEP_UNUSED }
            unused.forEach { (name, hosted) ->
                hosted.host.gateway.giveUp()
                hosts.remove(name)
            }
        }

        fun close() {
            runner.stop()
            hosts.values.forEach { it.host.gateway.giveUp() }
        }
    }

    private class HostedMember(val host: MemberHost, var usedAt: Duration)

    private companion object {
        /** Time for which an unused member of another gateway is kept; longer than any transaction. */
        val KEEP_UNUSED = 90.seconds
    }
}
