package dev.kumquatknot.proxy.member

import arrow.core.Either
import dev.kumquatknot.core.admission.WorkItem
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A connection that an interactive transaction keeps between its statements. It holds a slot only while a statement
 * runs. Used by one thread at a time; [release] may be called from any thread after the last statement has ended.
 */
public class PinnedConnection internal constructor(
    private val connection: TrackedConnection,
    private val gateway: MemberGateway,
) {
    private val released = AtomicBoolean()

    /** Whether the connection and with it the transaction is lost. */
    public val broken: Boolean get() = connection.broken

    /** Waits for a slot and runs [action] on this connection. */
    public fun <T> execute(item: WorkItem, action: MemberAction<T>): Either<GatewayFailure, T> {
        check(!released.get()) { "the connection has been released" }
        return gateway.executePinned(connection, item, action)
    }

    /**
     * Returns the connection to the pool if [clean] states that the transaction has ended and the last answer confirms
     * it. Otherwise closes the connection, which rolls back an open transaction. Further calls have no effect.
     */
    public fun release(clean: Boolean) {
        if (released.compareAndSet(false, true)) gateway.unpin(connection, clean)
    }
}
