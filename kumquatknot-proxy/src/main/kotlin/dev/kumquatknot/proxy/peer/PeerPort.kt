package dev.kumquatknot.proxy.peer

import arrow.core.Either
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration

/** Failure of a call to another node. */
public sealed interface PeerFailure {
    /** The node at the other end. */
    public val peer: VmName

    /** Text for logs and callers. */
    public val detail: String

    /** The call never reached the node. */
    public data class NotSent(override val peer: VmName, override val detail: String) : PeerFailure

    /** No answer came; the call may have taken effect. */
    public data class NoAnswer(override val peer: VmName, override val detail: String) : PeerFailure
}

/** The primary of a database group, as nodes pass it on. */
public data class PrimaryRecord(val database: DatabaseName, val term: Term, val primary: MemberName)

/**
 * News that two nodes exchange; one exchange is also the probe of the receiver.
 *
 * @property full whether the reply should hold everything that the receiver knows.
 */
public data class GossipMessage(
    val sender: VmRecord,
    val vms: List<VmRecord>,
    val primaries: List<PrimaryRecord>,
    val configurationNumber: Long,
    val full: Boolean,
)

/**
 * What a node knows of a member from its own calls.
 *
 * @property sinceLastResponse time since the member last answered this node, or null where it never did.
 */
public data class MemberObservation(val sinceLastResponse: Duration?, val acceptedTerm: Term)

/**
 * What a node passes on in place of the platform.
 *
 * @property configuration the configuration in force where it is newer than the known one, else null.
 * @property sessionKeys the keys that sign session tokens, as the platform holds them; null where not known.
 */
public data class PeerConfiguration(val configuration: FleetConfiguration?, val sessionKeys: String?) {
    override fun toString(): String = "PeerConfiguration(number=${configuration?.number})"
}

/** The other nodes, as one node uses them. Each call waits at most the given time. */
public interface PeerPort {
    /** Runs work at a member through the connections that [peer] holds. */
    public fun execute(peer: VmRecord, request: RelayRequest): Either<PeerFailure, RelayReply>

    /** Exchanges news with [peer]. */
    public fun gossip(peer: VmRecord, message: GossipMessage, timeout: Duration): Either<PeerFailure, GossipMessage>

    /** Asks [peer] whether [target] answers it. */
    public fun probeIndirectly(peer: VmRecord, target: VmRecord, timeout: Duration): Either<PeerFailure, Boolean>

    /** Returns the configuration of [peer] if its number is above [known], and its session keys. */
    public fun configuration(
        peer: VmRecord,
        known: Long,
        timeout: Duration,
    ): Either<PeerFailure, PeerConfiguration>

    /** Asks when [peer] last heard from [member]. */
    public fun vantage(
        peer: VmRecord,
        database: DatabaseName,
        member: MemberName,
        timeout: Duration,
    ): Either<PeerFailure, MemberObservation>

    /** Releases the connections to [peer], which is gone. Calls that wait for it end without an answer. */
    public fun disconnect(peer: VmName)
}

/** What a node answers to other nodes. */
public interface PeerService {
    /** Serves [RelayRequest]. */
    public fun execute(request: RelayRequest): RelayReply

    /** Takes in news and answers with its own. */
    public fun gossip(message: GossipMessage): GossipMessage

    /** Probes [address] of the node [name]. */
    public fun probeIndirectly(name: VmName, address: String): Boolean

    /** Returns the configuration in force if its number is above [known], and the session keys. */
    public fun configuration(known: Long): PeerConfiguration

    /** Tells when this node last heard from [member]. */
    public fun vantage(database: DatabaseName, member: MemberName): MemberObservation
}
