package dev.kumquatknot.standin.history

import arrow.core.Either
import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.standin.fleet.LocalFleet
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.insert
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.select
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One caller that roams between the nodes with its token. [run] is used by one thread. */
class Session(
    private val number: Int,
    private val fleet: LocalFleet,
    private val recorder: Recorder,
    private val random: UniformRandomProvider,
    private val liveNodes: () -> List<Int>,
    private val pairs: SharedPairs,
) {
    private var token = SessionToken(LocalFleet.TEAM)
    private var written = emptyList<String>()
    private var next = 0

    fun run() {
        val dice = random.nextInt(SIDES)
        when {
            dice < 30 -> book()
            dice < 50 -> charge()
            dice < 70 -> readOwn()
            dice < 80 -> readPair()
            dice < 90 -> readAged()
            else -> pair()
        }
    }

    private fun book() {
        val id = "b-$number-${next++}"
        val ending = send(Action.Book(id), Work.Write(listOf(insert(id, 1))))
        if (ending.effect == Effect.COMPLETED) written = written + id
    }

    private fun charge() {
        val account = account(number)
        val key = "k-$number-${next++}"
        val work = Work.Write(chargeStatements(account, key))
        val racing = if (random.nextInt(4) == 0) race(Action.Charge(account, key), work) else null
        var ending = send(Action.Charge(account, key), work, LocalFleet.charge, key)
        var attempts = 1
        while (ending.effect == Effect.UNKNOWN && attempts++ < CHARGE_ATTEMPTS) {
            if (random.nextInt(3) == 0) break
            ending = send(Action.Charge(account, key), work, LocalFleet.charge, key)
        }
        if (ending.effect == Effect.UNKNOWN) resolve(key)
        racing?.join()
        val asked = random.nextInt(4)
        if (asked == 0) resolve(key)
        if (asked == 1) send(Action.Charge(account, key), work, LocalFleet.charge, key)
    }

    /** Sends the same work to another node at the same time, as a caller does who clicks twice. */
    private fun race(action: Action.Charge, work: Work): CompletableFuture<Unit> {
        val node = node()
        val start = token
        return CompletableFuture.supplyAsync {
            recorder.record(number, node, action) {
                fleet.run(fleet.nodes[node], work, start, LocalFleet.charge, action.key, DEADLINE).ending()
            }
        }
    }

    private fun resolve(key: String) {
        repeat(RESOLVE_ATTEMPTS) {
            val ending = send(Action.Resolve(key), Work.Resolve, LocalFleet.charge, key)
            if (ending.effect != Effect.UNKNOWN) return
        }
    }

    private fun readOwn() {
        if (written.isEmpty()) return
        val ids = listOf(written.last(), written[random.nextInt(written.size)])
        send(Action.ReadOwn(ids), Work.Read(ids.map { select(it) }))
    }

    private fun readPair() {
        val pair = pairs.any(random) ?: return
        val statement = listOf(select("$pair-left"), select("$pair-right"))
        send(Action.ReadPair(pair), Work.Read(statement))
    }

    private fun readAged() {
        val age = AGES[random.nextInt(AGES.size)]
        send(Action.ReadAged(age), Work.Read(listOf(select(CLOCK_ROW)), age))
    }

    private fun pair() {
        val pair = "p-$number-${next++}"
        pairs.add(pair)
        val key = if (random.nextInt(2) == 0) "kp-$pair" else null
        val kind = if (key == null) LocalFleet.book else LocalFleet.charge
        var handle: TransactionHandle? = null
        val ending = recorder.record(number, node(), Action.Pair(pair)) {
            val begun = call(Work.Begin, kind).fold({ return@record notCommitted(it) }, { it })
            handle = begun.transaction
            write(pair, begun.transaction!!, kind)?.let { return@record it }
            call(Work.Commit(begun.transaction!!), kind, key).ending()
        }
        val open = handle ?: return
        if (ending.effect == Effect.COMPLETED) written = written + listOf("$pair-left", "$pair-right")
        if (ending.effect == Effect.UNKNOWN) send(Action.CommitAgain(pair), Work.Commit(open), kind, key)
        if (ending.effect == Effect.NOT_RUN) call(Work.Rollback(open), kind)
    }

    /** Writes both rows with a read between; returns how it failed, or null. */
    private fun write(pair: String, handle: TransactionHandle, kind: KindConfiguration): Ending? {
        call(Work.Run(handle, listOf(insert("$pair-left", 1))), kind).onLeft { return notCommitted(it) }
        val seen = call(Work.Run(handle, listOf(select("$pair-left"), select("$pair-right"))), kind)
            .getOrElse { return notCommitted(it) }.values()
        check(seen == listOf(1L, null)) { "transaction of $pair read $seen" }
        call(Work.Run(handle, listOf(insert("$pair-right", 1))), kind).onLeft { return notCommitted(it) }
        val rolledBack = random.nextInt(5) == 0
        return if (rolledBack) Ending(Effect.NOT_RUN, detail = "the caller rolls back") else null
    }

    /** Without a commit sent, nothing of a transaction may ever be seen, whatever its last statement was told. */
    private fun notCommitted(failed: RequestFailure) =
        Ending(Effect.NOT_RUN, failed.failure.reason, detail = failed.failure.detail)

    private fun send(
        action: Action,
        work: Work,
        kind: KindConfiguration = if (work is Work.Read) LocalFleet.browse else LocalFleet.book,
        key: String? = null,
    ): Ending {
        val node = node()
        return recorder.record(number, node, action) { callAt(node, work, kind, key).ending() }
    }

    private fun call(work: Work, kind: KindConfiguration, key: String? = null) = callAt(node(), work, kind, key)

    private fun callAt(node: Int, work: Work, kind: KindConfiguration, key: String?) =
        fleet.run(fleet.nodes[node], work, token, kind, key, DEADLINE)
            .onRight { token = it.token }
            .onLeft { token = it.token }

    private fun node(): Int = liveNodes().let { it[random.nextInt(it.size)] }

    companion object {
        const val CLOCK_ROW = "clock"
        val DEADLINE: Duration = 2.seconds
        private const val SIDES = 100
        private const val CHARGE_ATTEMPTS = 4
        private const val RESOLVE_ATTEMPTS = 2
        private val AGES = listOf(0.milliseconds, 100.milliseconds, 300.milliseconds, 1.seconds)

        fun account(session: Int) = "account-$session"

        private fun chargeStatements(account: String, key: String) = listOf(
            LocalFleet.add(account, 1),
            Statement("INSERT INTO charge (charge_key, amount) VALUES ('$key', 1)"),
            select(account),
        )
    }
}

/** Names of the transactions of all sessions. Thread-safe. */
class SharedPairs {
    private val names = ArrayList<String>()

    @Synchronized
    fun add(pair: String) {
        names += pair
    }

    @Synchronized
    fun any(random: UniformRandomProvider): String? =
        if (names.isEmpty()) null else names[maxOf(0, names.size - 1 - random.nextInt(RECENT))]

    private companion object {
        const val RECENT = 6
    }
}

/** Returns the single cells that the queries of this reply gave, null where a query gave no row. */
fun CallerReply.values(): List<Long?> = results.filter { it.columns.isNotEmpty() }
    .map { (it.rows.singleOrNull()?.single() as? SqlValue.Integer)?.value }

/** Returns this answer as an ending of an operation. */
fun Either<RequestFailure, CallerReply>.ending(): Ending = fold(
    { Ending(it.failure.effect, it.failure.reason, detail = it.failure.detail) },
    { Ending(Effect.COMPLETED, null, it.values(), it.token.pointOf(LocalFleet.DATABASE), it.repeated) },
)
