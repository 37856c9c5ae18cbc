package dev.kumquatknot.proxy.node

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.Membership
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.operations.configuration.SessionKeyStore
import dev.kumquatknot.operations.configuration.SessionKeys
import dev.kumquatknot.operations.settings.DatabaseAdapter
import dev.kumquatknot.operations.settings.NodeSettings
import dev.kumquatknot.operations.today.DayRecorder
import dev.kumquatknot.operations.today.SummaryPublisher
import dev.kumquatknot.operations.today.SummaryStore
import dev.kumquatknot.operations.today.TodayPage
import dev.kumquatknot.proxy.adapter.platform.HttpObjectStore
import dev.kumquatknot.proxy.adapter.standin.StandinMembers
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.NodeMetrics
import dev.kumquatknot.proxy.peer.GrpcPeers
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import java.net.URI
import java.security.SecureRandom
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

/** Reason why a node did not start. [detail] also tells the operator how to fix it. */
public data class LaunchFailure(val detail: String)

/**
 * Builds a node with its servers from settings.
 *
 * @param clock clock of the node.
 */
public class NodeLauncher(private val clock: Clock = SystemClock) {
    /** Builds the node; no server listens before [RunningNode.start]. Fails if the session keys are not available. */
    public fun build(settings: NodeSettings): Either<LaunchFailure, RunningNode> = either {
        val events = EventLog()
        val store = HttpObjectStore(URI("http://${settings.platformAddress}")) {
            events.log(Event.VM_ENTRY_REFUSED, "detail" to it)
        }
        val peers = GrpcPeers()
        val keys = sessionKeys(settings, SessionKeyStore(store), peers).bind()
        val ports = memberPorts(settings).bind()
        val recorder = DayRecorder(settings.vm, clock)
        val identity =
            NodeIdentity(settings.vm, settings.dataCentre, settings.nodeAddress, settings.seedAddresses)
        lateinit var node: ProxyNode
        val dependencies = NodeDependencies(
            store = store,
            memberPorts = ports,
            peers = peers,
            events = events,
            metrics = NodeMetrics(),
            seed = SecureRandom().nextLong(),
            clock = clock,
            workers = settings.workers,
            sessionKeys = Json.encodeToString(SessionKeys.serializer(), keys),
            onPromotion = { database, term -> recorder.recordFailover(database, term, node.primarySilence(database)) },
        )
        node = ProxyNode(identity, dependencies)
        val summaries = SummaryStore(store)
        val page = TodayPage(summaries, recorder, clock, { node.configuration }, { node.usableVms() })
        val server = NodeServer(
            node = node,
            handle = RecordingHandler(node::handle, recorder, clock)::handle,
            identity = identity,
            dependencies = dependencies,
            addresses = settings.listenAddresses(),
            keys = keys.toSigningKeys(),
            pages = OperatorPages(page::html) { NodeStatus.of(node) },
        )
        val publisher = SummaryPublisher(settings.vm, recorder, SummaryStore(store), clock, { node.usableVms() }) {
            events.log(Event.STORE_UNAVAILABLE, "call" to "summary", "detail" to it.toString())
        }
        RunningNode(settings.vm, server, publisher)
    }

    private fun sessionKeys(
        settings: NodeSettings,
        store: SessionKeyStore,
        peers: GrpcPeers,
    ): Either<LaunchFailure, SessionKeys> = store.read().fold(
        { failure -> keysFromPeers(settings, peers)?.right() ?: LaunchFailure(unavailable(failure.detail)).left() },
        { keys -> keys?.right() ?: LaunchFailure(NO_KEYS).left() },
    )

    private fun keysFromPeers(settings: NodeSettings, peers: GrpcPeers): SessionKeys? =
        settings.seedAddresses.firstNotNullOfOrNull { address ->
            val seed = VmRecord(
                VmName(address),
                settings.dataCentre,
                address,
                Membership.FIRST_INCARNATION,
                VmCondition.LIVE,
            )
            peers.configuration(seed, known = 0, SEED_TIMEOUT).getOrNull()?.sessionKeys?.let(::decodeKeys)
        }

    private fun decodeKeys(text: String): SessionKeys? = try {
        Json.decodeFromString(SessionKeys.serializer(), text)
    } catch (_: SerializationException) {
        null
    }

    private fun memberPorts(settings: NodeSettings): Either<LaunchFailure, MemberPorts> =
        when (val adapter = settings.databaseAdapter) {
            DatabaseAdapter.StandIn -> StandinMembers(settings.vm).let { members ->
                { member: MemberConfiguration -> members.port(member) }.right()
            }
            is DatabaseAdapter.PostgreSql -> LaunchFailure(
                "the adapter postgresql has not met a real server and is not offered for running nodes yet " +
                    "(user ${adapter.user})",
            ).left()
        }

    private fun NodeSettings.listenAddresses() = ListenAddresses(
        callers = callerAddress.toSocketAddress(),
        operators = operatorAddress.toSocketAddress(),
        nodes = nodeAddress.toSocketAddress(),
    )

    private fun String.toSocketAddress() = InetSocketAddress(substringBeforeLast(':'), substringAfterLast(':').toInt())

    private fun SessionKeys.toSigningKeys(): SigningKeys {
        val decoder = Base64.getDecoder()
        return SigningKeys(decoder.decode(current), previous?.let { decoder.decode(it) })
    }

    private fun unavailable(detail: String) =
        "the platform does not answer ($detail) and no seed address gave the session keys; " +
            "start the platform or name a running node in \"seedAddresses\""

    private companion object {
        const val NO_KEYS =
            "the platform holds no session keys; run \"kumquatknot apply\" once before the first node starts"
        val SEED_TIMEOUT = 3.seconds
    }
}
