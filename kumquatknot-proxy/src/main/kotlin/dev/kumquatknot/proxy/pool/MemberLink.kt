package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import kotlin.time.Duration

/** Cancels a scheduled task; has no effect once the task has run. */
public typealias Cancel = () -> Unit

/** Runs a task on the node's event loop after a delay. */
public typealias Schedule = (delay: Duration, task: () -> Unit) -> Cancel

/** A connection to a member; used on the node's event loop only. */
public interface MemberLink {
    /** Sends [commands] together; each is answered by one [MemberLinkEvents.replied]. */
    public fun send(commands: List<MemberCommand>)

    /** Closes the connection, which ends whatever it is doing. */
    public fun close()
}

/** Callbacks of a [MemberLink], called on the node's event loop. */
public interface MemberLinkEvents {
    /** The member's address accepted the connection, which the member may serve later or never. */
    public fun accepted(): Unit = Unit

    /** The member serves the connection; its log ends at [point]. */
    public fun opened(point: HistoryPoint?)

    /** The member answered the oldest pending command. */
    public fun replied(reply: MemberReply)

    /** The connection has ended or could not be opened. Called once. */
    public fun closed(end: LinkEnd)
}

/** How a connection to a member ended. */
public sealed interface LinkEnd {
    /** The member rejected the connection. */
    public data class Rejected(val code: RejectionCode, val detail: String) : LinkEnd

    /** Nothing listens at the member's address. */
    public data class Refused(val detail: String) : LinkEnd

    /** The connection was reset, closed or timed out. */
    public data class Broken(val detail: String) : LinkEnd
}

/**
 * Opens a connection to a member for the statements of one customer; without a customer, for callers who need no key
 * and for the proxy's own statements.
 */
public typealias OpenMemberLink =
    (member: DiscoveredMember, customer: CustomerName?, events: MemberLinkEvents) -> MemberLink
