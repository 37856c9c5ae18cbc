package dev.kumquatknot.proxy.member

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueChanges
import dev.kumquatknot.core.admission.QueueLoad
import dev.kumquatknot.core.admission.RefusalReason
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Blocks worker threads until an [AdmissionQueue] grants a slot. The lock is not held during calls to a member. */
internal class SlotGate(private val member: MemberName, private val queue: AdmissionQueue, private val clock: Clock) {
    private val lock = ReentrantLock()
    private val waiting = HashMap<Ticket, Waiter>()
    private var closed = false

    val load: QueueLoad get() = lock.withLock { queue.load() }

    /** Blocks until a slot is granted, at most until the item's deadline. */
    fun acquire(item: WorkItem): Either<GatewayFailure, Ticket> = lock.withLock {
        if (closed) return GatewayFailure.NotServed(member).left()
        when (val admission = queue.offer(item, clock.elapsed())) {
            is Admission.Granted -> admission.ticket.right()
            is Admission.Refused -> admission.toFailure().left()
            is Admission.Queued -> await(admission.ticket)
        }
    }

    /** Releases the slot of a statement that ran for [serviceTime]. */
    fun release(ticket: Ticket, serviceTime: Duration, answered: Boolean) = lock.withLock {
        notifyWaiters(queue.release(ticket, clock.elapsed(), serviceTime, answered))
    }

    /** Releases a slot that was held for the time [held] while no statement ran. */
    fun releaseUnused(ticket: Ticket, held: Duration) = lock.withLock {
        notifyWaiters(queue.abandon(ticket, clock.elapsed(), held))
    }

    /** Refuses all waiting items and, until [open], all new ones. */
    fun close() = lock.withLock {
        closed = true
        waiting.values.forEach { it.changed.signal() }
    }

    fun open() = lock.withLock { closed = false }

    private fun await(ticket: Ticket): Either<GatewayFailure, Ticket> {
        val waiter = Waiter(lock.newCondition())
        waiting[ticket] = waiter
        try {
            return awaitResult(ticket, waiter)
        } catch (interruption: InterruptedException) {
            if (waiter.result?.isRight() == true) notifyWaiters(queue.abandon(ticket, clock.elapsed(), Duration.ZERO))
            notifyWaiters(queue.cancel(ticket, clock.elapsed()))
            throw interruption
        } finally {
            waiting.remove(ticket)
        }
    }

    private fun awaitResult(ticket: Ticket, waiter: Waiter): Either<GatewayFailure, Ticket> {
        while (true) {
            waiter.result?.let { return it }
            val now = clock.elapsed()
            if (closed) return GatewayFailure.NotServed(member).left().also { notifyWaiters(queue.cancel(ticket, now)) }
            if (now >= ticket.item.deadline) {
                notifyWaiters(queue.cancel(ticket, now))
                return GatewayFailure.Refused(member, RefusalReason.DEADLINE_PASSED, RETRY_AFTER).left()
            }
            waiter.changed.await((ticket.item.deadline - now).inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun notifyWaiters(changes: QueueChanges) {
        changes.granted.forEach { waiting[it]?.finish(it.right()) }
        changes.expired.forEach { waiting[it.ticket]?.finish(it.refusal.toFailure().left()) }
    }

    private fun Admission.Refused.toFailure() = GatewayFailure.Refused(member, reason, retryAfter)

    private class Waiter(val changed: Condition) {
        var result: Either<GatewayFailure, Ticket>? = null

        fun finish(result: Either<GatewayFailure, Ticket>) {
            this.result = result
            changed.signal()
        }
    }

    private companion object {
        val RETRY_AFTER = 100.milliseconds
    }
}
