package dev.kumquatknot.standin.database

import arrow.core.Either
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.StatementBatch
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Receives the answer to one batch. */
internal typealias AnswerBatch = (Either<MemberFailure, BatchReply>) -> Unit

/** The member's end of one connection: runs its batches in order and delivers the answers as the faults allow. */
internal class MemberSession(
    private val member: GroupMember,
    private val vm: VmName,
    private val transport: Long,
    private val latency: Duration,
    private val runtime: GroupRuntime,
    private val onLost: (String) -> Unit,
) {
    private val runner = TransactionRunner(member, runtime) { !closed }
    private var last: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
    private var batches = 0L

    @Volatile
    private var closed = false

    /** Runs [batch] and gives the answer to [answer], unless a fault swallows one of them. */
    fun submit(batch: StatementBatch, answer: AnswerBatch) {
        if (closed || member.faults.isolates(vm)) return
        if (member.faults.silences(transport) && !runtime.chance()) return
        runtime.after(latency) { enqueue { if (!closed) runAndAnswer(batch, answer) } }
    }

    /** Ends an open transaction that the member can't go on with. */
    fun abort() = enqueue { runner.abort() }

    /** Closes the connection on the client's wish; an open transaction is rolled back. */
    fun close() {
        closed = true
        enqueue { runner.close() }
    }

    /** Closes the connection because of a failure, which the client notices. */
    fun lose(detail: String) {
        if (closed) return
        close()
        onLost(detail)
    }

    private fun runAndAnswer(batch: StatementBatch, answer: AnswerBatch) {
        val outcome = runner.run(batch)
        if (runner.inTransaction) limitIdleTime(++batches) else ++batches
        val committed = batch.end == BatchEnd.COMMIT && !batch.readOnly && outcome.isRight()
        if (committed && member.faults.takeLostCommitAnswer()) return
        runtime.after(latency + member.faults.delay) { if (reachesClient()) answer(outcome) }
    }

    private fun reachesClient() =
        !closed && member.faults.running && !member.faults.isolates(vm) && !member.faults.silences(transport)

    private fun limitIdleTime(batch: Long) = runtime.later(runtime.timing.idleTransaction) {
        enqueue { if (batches == batch && runner.inTransaction) lose("the transaction was idle for too long") }
    }

    @Synchronized
    private fun enqueue(task: () -> Unit) {
        val previous = last
        val next = CompletableFuture<Unit>()
        last = next
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
