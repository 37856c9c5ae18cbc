package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.NodeMetrics
import dev.kumquatknot.proxy.peer.PeerPort

/**
 * Identity of a node.
 *
 * @property address host and port at which it serves other nodes.
 * @property seeds addresses of other nodes to ask while the platform does not answer.
 */
public data class NodeIdentity(
    val vm: VmName,
    val dataCentre: DataCentre,
    val address: String,
    val seeds: List<String> = emptyList(),
)

/**
 * What a node uses of the world around it.
 *
 * @property seed seed of all random choices of the node; different on every start.
 * @property sessionKeys keys that sign session tokens, as the platform holds them, for nodes that start while the
 * platform does not answer.
 * @property onPromotion called after this node has promoted a primary.
 */
public class NodeDependencies(
    public val store: ObjectStore,
    public val memberPorts: MemberPorts,
    public val peers: PeerPort,
    public val events: EventLog,
    public val metrics: NodeMetrics,
    public val seed: Long,
    public val clock: Clock = SystemClock,
    public val workers: Int = DEFAULT_WORKERS,
    public val sessionKeys: String? = null,
    public val onPromotion: (DatabaseName, Term) -> Unit = { _, _ -> },
) {
    private companion object {
        const val DEFAULT_WORKERS = 64
    }
}
