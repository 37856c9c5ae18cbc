package dev.kumquatknot.standin.database

import arrow.core.Either
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.StatementBatch
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Receives the reply to one batch, or its failure. */
internal typealias BatchCallback = (Either<MemberFailure, BatchReply>) -> Unit

/**
 * Server side of one database connection. Runs its batches one after another and delays or drops their answers as the
 * fault switches of the member require.
 */
internal class MemberSession(
    private val member: GroupMember,
    private val vm: VmName,
    private val transport: Long,
    private val latency: Duration,
    private val runtime: GroupRuntime,
    private val onLost: (String) -> Unit,
) {
    private val runner = TransactionRunner(member, runtime) { !closed }
    private var lastTask: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
    private var batchCount = 0L

    @Volatile
    private var closed = false

    /** Runs [batch] and passes its result to [answer], unless a fault drops the batch or the answer. */
    fun submit(batch: StatementBatch, answer: BatchCallback) {
        if (closed || member.faults.isolates(vm)) return
        if (member.faults.silences(transport) && !runtime.randomBoolean()) return
        runtime.runAfter(latency) { enqueue { if (!closed) runAndAnswer(batch, answer) } }
    }

    /** Rolls back an open transaction after the member has accepted a higher term. */
    fun abort() = enqueue { runner.abort() }

    /** Closes the connection at the request of the client; an open transaction is rolled back. */
    fun close() {
        closed = true
        enqueue { runner.close() }
    }

    /** Closes the connection because of a failure, and reports [detail] to the client. */
    fun fail(detail: String) {
        if (closed) return
        close()
        onLost(detail)
    }

    private fun runAndAnswer(batch: StatementBatch, answer: BatchCallback) {
        val outcome = runner.run(batch)
        if (runner.inTransaction) scheduleIdleTimeout(++batchCount) else ++batchCount
        val committed = batch.end == BatchEnd.COMMIT && !batch.readOnly && outcome.isRight()
        if (committed && member.faults.consumeLostCommitAnswer()) return
        runtime.runAfter(latency + member.faults.delay) { if (reachesClient()) answer(outcome) }
    }

    private fun reachesClient() =
        !closed && member.faults.running && !member.faults.isolates(vm) && !member.faults.silences(transport)

    private fun scheduleIdleTimeout(batch: Long) = runtime.executeAfter(runtime.timing.idleTransaction) {
        enqueue { if (batchCount == batch && runner.inTransaction) fail("the transaction was idle for too long") }
    }

    @Synchronized
    private fun enqueue(task: () -> Unit) {
        val previous = lastTask
        val next = CompletableFuture<Unit>()
        lastTask = next
        previous.whenComplete { _, _ ->
            runtime.execute {
                try {
                    task()
                } finally {
                    next.complete(Unit)
                }
            }
        }
    }
}
