package dev.kumquatknot.proxy.exchange

import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.Placement
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.feed.SharedFeed
import dev.kumquatknot.proxy.forwarding.ForwardingExecutor
import dev.kumquatknot.proxy.forwarding.ForwardingServer
import dev.kumquatknot.proxy.forwarding.OperationTraits
import dev.kumquatknot.proxy.forwarding.PeerIdentity
import dev.kumquatknot.proxy.forwarding.TcpPeerNetwork
import dev.kumquatknot.proxy.interactive.InteractiveNode
import dev.kumquatknot.proxy.interactive.ObjectWatcher
import dev.kumquatknot.proxy.interactive.WatchAnswer
import dev.kumquatknot.proxy.limit.FleetLimiter
import dev.kumquatknot.proxy.limit.LimiterEnvironment
import dev.kumquatknot.proxy.limit.LimiterPlaces
import io.netty.channel.EventLoop
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Creates the watcher of a shared feed, with the bound of its waits and the callback for the store's answers. */
public typealias CreateWatcher = (maximumWait: () -> Duration, onAnswer: (WatchAnswer) -> Unit) -> ObjectWatcher

/**
 * What a VM exchanges with the others of its fleet: operations, feeds of the store, tokens for operations of limited
 * customers and the state of the links. All of it takes effect only where the configuration has customers.
 *
 * @param self this VM as it is registered.
 * @param view the registered VMs, as the [node] knows them too.
 * @param limitWindow how the limits of customers are judged.
 * @param eventLoop event loop of the [node].
 * @param isReturning whether this VM's name was registered before this process started.
 * @param onUnknownRun called when a VM connects that is not in the last list of VMs.
 */
public class VmExchange(
    private val node: InteractiveNode,
    private val self: FleetVm,
    private val view: FleetView,
    private val limitWindow: LimitWindow,
    private val eventLoop: EventLoop,
    isReturning: () -> Boolean,
    private val onUnknownRun: () -> Unit,
) {
    private val environment = node.nodeEnvironment
    private val identity = PeerIdentity(self.name, self.run)
    private val network =
        TcpPeerNetwork(identity, eventLoop, environment.clock, environment.events) { view[it]?.address }
    private val local = node.executor
    private val executor = ForwardingExecutor(
        local = local,
        network = network,
        environment = environment,
        place = ::place,
        firstNumber = identity.firstRequestNumber,
        dropLink = network::drop,
        // The state of the links is recorded in the view of the fleet.
        onFailing = {},
        onAnswering = {},
    )
    private val server = ForwardingServer(
        executor = local,
        network = network,
        environment = environment,
        configuration = { node.configuration },
        takesOperations = { !node.leaving },
        dropLink = network::drop,
    )
    private val feeds = ArrayList<SharedFeed>()
    private val limiterPlaces = LimiterPlaces(
        self = self.name,
        run = self.run,
        limiters = node::limiterVms,
        registered = { view.size },
        isReturning = isReturning,
        isNear = node::isInOwnRegion,
    )

    /** Number of operations of other VMs that this VM runs. */
    public val openOperations: Int get() = server.openOperations

    /**
     * Shares the feed of the objects of one [kind] with the other VMs of the region. Returns the watcher that [create]
     * made, which has to be started by the caller. On the event loop, [onObjects] is called after each change, and
     * [onConfirmed] with the time for which the store confirmed the objects. To be called before [start].
     */
    public fun share(
        kind: String,
        create: CreateWatcher,
        onConfirmed: (Duration) -> Unit,
        onObjects: (List<StoredObject>, StoreEra) -> Unit,
    ): ObjectWatcher {
        lateinit var watcher: ObjectWatcher
        val feed = SharedFeed(
            kind = kind,
            self = self.name,
            environment = environment,
            network = network,
            isShared = { !node.configuration.customers.isEmpty },
            sources = node::feedSources,
            setWatching = { if (it) watcher.resume() else watcher.pause() },
            onConfirmed = onConfirmed,
            onObjects = onObjects,
        )
        watcher = create({ feed.maximumWait }) { answer -> eventLoop.execute { feed.answered(answer) } }
        feeds += feed
        return watcher
    }

    /** Accepts links of other VMs and forwards operations from now on; must not be called on the event loop. */
    public fun start(address: InetSocketAddress) {
        eventLoop.submit {
            // First, since the others place operations by what the links show.
            node.connectPeers(network, onUnknownRun)
            network.addListener(executor)
            network.addListener(server)
            feeds.forEach { it.start() }
            val limiterEnvironment = LimiterEnvironment(
                environment.clock,
                environment.schedule,
                environment.events,
                node.metrics,
            )
            node.limiter = FleetLimiter(limiterPlaces, network, limiterEnvironment, limitWindow)
            node.executor = executor
        }.sync()
        network.listen(address)
    }

    /** Rolls back the open transactions of other VMs. */
    public fun interruptTransactions(): Unit = server.interruptTransactions()

    private fun place(traits: OperationTraits): List<VmName> =
        when (val placement = node.placeOperation(traits.route, isRead = !traits.needsPrimary)) {
            is Placement.Here -> emptyList()
            is Placement.Forwarded -> placement.names
        }
}
