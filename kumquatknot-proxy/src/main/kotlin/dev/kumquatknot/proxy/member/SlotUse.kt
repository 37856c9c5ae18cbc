package dev.kumquatknot.proxy.member

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.admission.RefusalReason
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tracks how long an item holds a slot and how long a statement ran meanwhile. Used by one thread. */
internal class SlotUse(private val ticket: Ticket, private val member: MemberName, private val clock: Clock) {
    private val acquiredAt = clock.elapsed()
    private var statementTime: Duration? = null
    private var answered = true

    /** Runs [action] with the time until the item's deadline as its timeout. */
    fun <T> run(connection: TrackedConnection, action: MemberAction<T>): Either<GatewayFailure, T> {
        val startedAt = clock.elapsed()
        val timeout = ticket.item.deadline - startedAt
        if (timeout <= Duration.ZERO) {
            return GatewayFailure.Refused(member, RefusalReason.DEADLINE_PASSED, RETRY_AFTER).left()
        }
        if (connection.broken) return GatewayFailure.Failed(connectionLost).left()
        try {
            return action(connection, timeout).mapLeft { GatewayFailure.Failed(it) }
        } finally {
            statementTime = clock.elapsed() - startedAt
            answered = !connection.unanswered
        }
    }

    /** Releases the slot and reports the time of the statement, if one ran. */
    fun end(slots: SlotGate) {
        val serviceTime = statementTime
        if (serviceTime == null) {
            slots.releaseUnused(ticket, clock.elapsed() - acquiredAt)
        } else {
            slots.release(ticket, serviceTime, answered)
        }
    }

    private val connectionLost
        get() = MemberFailure.Unreachable(member, Step.EXECUTE, "the connection to $member was lost before")

    private companion object {
        val RETRY_AFTER = 100.milliseconds
    }
}
