package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.admission.EdgeLimits
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.request.HandleRequest
import dev.kumquatknot.core.session.TokenCodec
import dev.kumquatknot.core.transaction.TransactionHandleCodec
import dev.kumquatknot.proxy.caller.CallerApi
import dev.kumquatknot.proxy.http.WorkerPoolServer
import dev.kumquatknot.proxy.http.WorkerPoolSettings
import dev.kumquatknot.proxy.operator.Health
import dev.kumquatknot.proxy.operator.OperatorApi
import dev.kumquatknot.proxy.peer.GrpcNodeServer
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.http4k.server.Http4kServer
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Addresses at which a node listens.
 *
 * @property callers address for requests of callers.
 * @property operators address of the pages for operators.
 * @property nodes address for calls of other nodes.
 */
public data class ListenAddresses(
    val callers: InetSocketAddress,
    val operators: InetSocketAddress,
    val nodes: InetSocketAddress,
)

/**
 * Keys that sign session tokens and transaction handles.
 *
 * @property previous key before the last rotation, whose tokens stay valid; null if there is none.
 */
public class SigningKeys(public val current: ByteArray, public val previous: ByteArray?)

/**
 * Pages of a node for operators.
 *
 * @property today the page of the current day in HTML.
 * @property status state of the node in JSON.
 */
public class OperatorPages(public val today: () -> String, public val status: () -> String)

/** A [ProxyNode] with its servers for callers, operators and other nodes. */
public class NodeServer(
    private val node: ProxyNode,
    private val handle: HandleRequest,
    private val identity: NodeIdentity,
    private val dependencies: NodeDependencies,
    private val addresses: ListenAddresses,
    keys: SigningKeys,
    pages: OperatorPages,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(dependencies.seed + 1)
    private val requestNumbers = AtomicLong(random.nextLong() ushr REQUEST_NUMBER_SHIFT)
    private val limits = EdgeLimits(dependencies.workers)
    private val callers: Http4kServer = WorkerPoolServer(
        WorkerPoolSettings(
            address = addresses.callers.hostString,
            port = addresses.callers.port,
            workers = dependencies.workers,
            stopTimeout = DRAIN_TIMEOUT,
        ),
    ).toServer(callerApi(keys).handler())
    private val operators: Http4kServer = WorkerPoolServer(
        WorkerPoolSettings(
            address = addresses.operators.hostString,
            port = addresses.operators.port,
            workers = OPERATOR_WORKERS,
            stopTimeout = OPERATOR_DRAIN_TIMEOUT,
        ),
    ).toServer(operatorApi(pages).handler())
    private val nodes =
        GrpcNodeServer(addresses.nodes, identity.vm, node.peerService, node.workExecutor, node.controlExecutor)

    /** Port for callers; available after [start]. */
    public val callerPort: Int get() = callers.port()

    /** Port for operators; available after [start]. */
    public val operatorPort: Int get() = operators.port()

    /** Starts the servers and the node. Callers are served once the node has a configuration. */
    public fun start() {
        nodes.start()
        operators.start()
        node.start()
        callers.start()
    }

    /**
     * Stops gracefully: announces to the fleet that the node is leaving, waits until the load balancer has seen that it
     * is not ready, answers the requests in flight, waits for open transactions and closes the servers.
     */
    public fun stop() {
        node.leave()
        Thread.sleep(READINESS_NOTICE_TIME.inWholeMilliseconds)
        callers.stop()
        node.awaitTransactions(TRANSACTION_DRAIN_TIMEOUT)
        nodes.stop(DRAIN_TIMEOUT)
        node.stop()
        operators.stop()
    }

    private fun callerApi(keys: SigningKeys) = CallerApi(
        configuration = { node.configuration },
        handle = handle,
        tokens = TokenCodec(keys.current, keys.previous),
        handles = TransactionHandleCodec(keys.current, keys.previous),
        limits = limits,
        clock = dependencies.clock,
        metrics = dependencies.metrics,
        events = dependencies.events,
        newRequestId = { RequestId("${identity.vm}-${requestNumbers.incrementAndGet()}") },
    )

    private fun operatorApi(pages: OperatorPages) = OperatorApi(
        live = { Health(true, "the process works") },
        ready = {
            if (node.ready) Health(true, "the node takes work") else Health(false, "no configuration, or leaving")
        },
        page = pages.today,
        status = pages.status,
        metrics = dependencies.metrics,
    )

    private companion object {
        const val REQUEST_NUMBER_SHIFT = 16
        const val OPERATOR_WORKERS = 4

        /** Time within which the load balancer finds that the node is not ready. */
        val READINESS_NOTICE_TIME: Duration = 2.seconds
        val DRAIN_TIMEOUT: Duration = 20.seconds
        val OPERATOR_DRAIN_TIMEOUT: Duration = 1.seconds
        val TRANSACTION_DRAIN_TIMEOUT: Duration = 10.seconds
    }
}
