package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.pooling.ConnectionDemand
import dev.kumquatknot.core.pooling.CustomerConnections
import kotlin.time.Duration

/** Work that waits for a connection, in queue order; polls go ahead of statements. Each waits for a limited time. */
internal class LinkWaiters(private val environment: NodeEnvironment, private val decisions: CustomerConnections) {
    private val waiters = ArrayDeque<Waiter>()

    /** Number of waiting statements, each of which holds a slot. */
    val statements: Int get() = waiters.count { it.request != null }

    fun isEmpty(): Boolean = waiters.isEmpty()

    fun isNotEmpty(): Boolean = waiters.isNotEmpty()

    /** Adds [request] with its slot; [done] gets null if no connection came within [timeout]. */
    fun addStatement(request: PoolRequest, slot: PoolSlot, timeout: Duration, done: (PooledLink?) -> Unit) {
        val waiter = Waiter(request, slot, environment.now(), done)
        waiters.addLast(waiter)
        startTimer(waiter, timeout)
    }

    /** Adds a poll; [done] gets null if no connection came within [timeout]. */
    fun addPoll(timeout: Duration, done: (PooledLink?) -> Unit) {
        val waiter = Waiter(null, null, environment.now(), done)
        waiters.addFirst(waiter)
        startTimer(waiter, timeout)
    }

    /** Gives the free [link] to the work that it serves first; returns false if no work can use it. */
    fun serve(link: PooledLink): Boolean {
        val chosen = decisions.chooseWork(demands({ true }, { true }), link.customer) ?: return false
        waiters.removeAt(chosen).complete(link)
        return true
    }

    /** Removes [request] and releases its slot; returns false if it does not wait for a connection. */
    fun cancel(request: PoolRequest): Boolean {
        val waiter = waiters.firstOrNull { it.request === request } ?: return false
        waiters.remove(waiter)
        waiter.abandon()
        return true
    }

    /** Ends all waits without a connection. */
    fun failAll() = waiters.toList().also { waiters.clear() }.forEach { it.complete(null) }

    /**
     * The waiting work, by the time that it has waited: [opensForPoll] is whether a connection is opened for a poll,
     * [isPatient] whether a statement can wait for a busy connection of its customer.
     */
    fun demands(opensForPoll: (Duration) -> Boolean, isPatient: (Duration) -> Boolean): List<ConnectionDemand> {
        val now = environment.now()
        return waiters.map { waiter ->
            val waited = now - waiter.since
            val request = waiter.request
            if (request == null) {
                ConnectionDemand.Poll(opensForPoll(waited))
            } else {
                ConnectionDemand.Statement(request.customer, isPatient(waited))
            }
        }
    }

    private fun startTimer(waiter: Waiter, after: Duration) {
        waiter.timer = environment.schedule(after) {
            waiters.remove(waiter)
            waiter.complete(null)
        }
    }

    private class Waiter(
        val request: PoolRequest?,
        private val slot: PoolSlot?,
        val since: Duration,
        private val done: (PooledLink?) -> Unit,
    ) {
        var timer: Cancel? = null
        private var ended = false

        fun complete(link: PooledLink?) {
            if (ended) return
            ended = true
            timer?.invoke()
            done(link)
        }

        fun abandon() {
            ended = true
            timer?.invoke()
            slot?.release(ran = false, answered = true)
        }
    }
}
