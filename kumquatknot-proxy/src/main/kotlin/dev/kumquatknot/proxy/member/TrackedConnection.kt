package dev.kumquatknot.proxy.member

import arrow.core.Either
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.pooling.ConnectionNumber
import kotlin.time.Duration

/** A pooled connection that tracks whether a transaction is open on it and whether it can be reused. */
internal class TrackedConnection(
    val number: ConnectionNumber,
    private val connection: MemberConnection,
) : MemberConnection {
    /** Whether a transaction is or may be open on the connection. */
    var transactionOpen: Boolean = false
        private set

    /** Whether the connection is closed or failed and must not be used again. */
    @Volatile
    var broken: Boolean = false
        private set

    /** Whether a batch is running on the connection. */
    @Volatile
    var inUse: Boolean = false
        private set

    /** Whether the member did not answer a call on this connection. */
    var unanswered: Boolean = false
        private set

    /** Whether the connection may serve another request. */
    val clean: Boolean get() = !transactionOpen && !broken

    override fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply> {
        val wasOpen = transactionOpen
        transactionOpen = true
        inUse = true
        try {
            return connection.run(batch, timeout)
                .onRight { transactionOpen = batch.end == BatchEnd.KEEP_OPEN }
                .onLeft { recordFailure(it, wasOpen) }
        } finally {
            inUse = false
        }
    }

    override fun close() {
        broken = true
        connection.close()
    }

    private fun recordFailure(failure: MemberFailure, wasOpen: Boolean) {
        when (failure) {
            is MemberFailure.StatementFailed -> transactionOpen = false
            is MemberFailure.LowerTerm, is MemberFailure.NotPrimary -> transactionOpen = wasOpen
            is MemberFailure.TooManyConnections, is MemberFailure.Unreachable -> broken = true
            is MemberFailure.NoAnswer -> {
                broken = true
                unanswered = true
            }
        }
    }
}
