package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.SessionReply

// The pool package declares these types, as it must not depend on this one.

/** Cancels a scheduled task; has no effect once the task has run. */
public typealias Cancel = dev.kumquatknot.proxy.pool.Cancel

/** Runs a task on the node's event loop after a delay. */
public typealias Schedule = dev.kumquatknot.proxy.pool.Schedule

/** A connection to a member; used on the node's event loop only. */
public typealias MemberLink = dev.kumquatknot.proxy.pool.MemberLink

/** Callbacks of a [MemberLink], called on the node's event loop. */
public typealias MemberLinkEvents = dev.kumquatknot.proxy.pool.MemberLinkEvents

/** Opens a connection to a member for the statements of one customer. */
public typealias OpenMemberLink = dev.kumquatknot.proxy.pool.OpenMemberLink

/** Timeouts and limits of interactive sessions. */
public typealias InteractiveLimits = dev.kumquatknot.proxy.pool.InteractiveLimits

/** Shared dependencies of the parts of an [InteractiveNode]. */
internal typealias NodeEnvironment = dev.kumquatknot.proxy.pool.NodeEnvironment

/** The caller's end of a session; used on the node's event loop only. */
public interface SessionPeer {
    /** Sends the reply to the oldest pending statement. */
    public fun reply(reply: SessionReply)

    /** Closes the connection after all replies were sent. */
    public fun close()
}
