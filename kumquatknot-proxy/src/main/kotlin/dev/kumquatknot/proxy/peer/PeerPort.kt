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

    /** Description for logs and for callers. */
    public val detail: String

    /** The call never reached the node. */
    public data class NotSent(override val peer: VmName, override val detail: String) : PeerFailure

    /** No answer arrived; the call may have taken effect. */
    public data class NoAnswer(override val peer: VmName, override val detail: String) : PeerFailure
}

/** The primary of a database group in [term], as gossiped between nodes. */
public data class PrimaryRecord(val database: DatabaseName, val term: Term, val primary: MemberName)

/**
 * Records that two nodes exchange; an exchange also serves as a liveness probe of the receiver.
 *
 * @property full whether the reply should contain all records of the receiver.
 */
public data class GossipMessage(
    val sender: VmRecord,
    val vms: List<VmRecord>,
    val primaries: List<PrimaryRecord>,
    val configurationNumber: Long,
    val full: Boolean,
)

/**
 * What a node observed of a member in its own calls.
 *
 * @property sinceLastResponse time since the member last answered the node, or null if it never did.
 */
public data class MemberObservation(val sinceLastResponse: Duration?, val acceptedTerm: Term)

/**
 * Configuration and session keys that one node provides to another in place of the platform.
 *
 * @property configuration the current configuration if it is newer than the one that the requester has, else null.
 * @property sessionKeys the keys that sign session tokens, as stored by the platform; null if unknown.
 */
public data class PeerConfiguration(val configuration: FleetConfiguration?, val sessionKeys: String?) {
    override fun toString(): String = "PeerConfiguration(number=${configuration?.number})"
}

/** Calls to other nodes. Each call waits at most the given time. */
public interface PeerPort {
    /** Runs work at a member over the member connections of [peer]. */
    public fun execute(peer: VmRecord, request: RelayRequest): Either<PeerFailure, RelayReply>

    /** Exchanges records with [peer]. */
    public fun gossip(peer: VmRecord, message: GossipMessage, timeout: Duration): Either<PeerFailure, GossipMessage>

    /** Asks [peer] to probe [target]; returns whether [target] answered. */
    public fun probeIndirectly(peer: VmRecord, target: VmRecord, timeout: Duration): Either<PeerFailure, Boolean>

    /** Fetches the session keys of [peer], and its configuration if the number of that is above [known]. */
    public fun configuration(
        peer: VmRecord,
        known: Long,
        timeout: Duration,
    ): Either<PeerFailure, PeerConfiguration>

    /** Asks [peer] when [member] last answered it. */
    public fun memberObservation(
        peer: VmRecord,
        database: DatabaseName,
        member: MemberName,
        timeout: Duration,
    ): Either<PeerFailure, MemberObservation>

    /** Closes the connections to [peer], which has failed. Calls in flight end with [PeerFailure.NoAnswer]. */
    public fun disconnect(peer: VmName)
}

/** Serves the calls of other nodes. */
public interface PeerService {
    /** Runs relayed work at a member. */
    public fun execute(request: RelayRequest): RelayReply

    /** Merges the records of [message] and returns the records of this node. */
    public fun gossip(message: GossipMessage): GossipMessage

    /** Probes the node [name] at [address]; returns whether it answered. */
    public fun probeIndirectly(name: VmName, address: String): Boolean

    /** Returns the session keys, and the current configuration if its number is above [known]. */
    public fun configuration(known: Long): PeerConfiguration

    /** Returns when [member] last answered this node. */
    public fun memberObservation(database: DatabaseName, member: MemberName): MemberObservation
}
