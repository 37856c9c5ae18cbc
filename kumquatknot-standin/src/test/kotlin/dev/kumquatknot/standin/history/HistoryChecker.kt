package dev.kumquatknot.standin.history

import dev.kumquatknot.core.outcome.Effect

/** A promise that a history breaks. */
enum class Promise {
    READ_YOUR_WRITES,
    NO_LOST_WRITE,
    NOT_RUN_IS_TRUE,
    AT_MOST_ONCE,
    FIRST_ANSWER_AGAIN,
    RESOLVED_IS_TRUE,
    NO_SUPERSEDED_ACKNOWLEDGEMENT,
    TRANSACTIONS_ATOMIC,
    STATED_AGE,
    CONFIGURATION_NEVER_REVERTS,
}

/** One breach of a promise and the facts that show it. */
data class Violation(val promise: Promise, val detail: String)

/** Decides by the recorded operations and the final state which promises a run has broken. */
class HistoryChecker(private val history: History) {
    private val operations = history.operations
    private val final = history.final

    fun violations(): List<Violation> = listOf(
        readYourWrites(),
        bookings(),
        keyedWork(),
        accounts(),
        acknowledgedPoints(),
        pairs(),
        pairReads(),
        agedReads(),
        configurations(),
    ).flatten()

    private fun readYourWrites() = operations.filter { it.completed }.flatMap { read ->
        val action = read.action as? Action.ReadOwn ?: return@flatMap emptyList()
        action.ids.zip(read.ending.values).mapNotNull { (id, value) ->
            violation(Promise.READ_YOUR_WRITES, value == null, "$id is missing in $read")
        }
    }

    private fun bookings() = operations.mapNotNull { operation ->
        val id = (operation.action as? Action.Book)?.id ?: return@mapNotNull null
        presence(operation, id in final.rows)
    }

    private fun presence(operation: Operation, present: Boolean): Violation? = when (operation.ending.effect) {
        Effect.COMPLETED -> violation(Promise.NO_LOST_WRITE, !present, "$operation")
        Effect.NOT_RUN -> violation(Promise.NOT_RUN_IS_TRUE, present, "$operation")
        Effect.UNKNOWN -> null
    }

    private fun keyedWork() = keyed().flatMap { (key, attempts) ->
        val count = final.charges[key] ?: 0
        val charges = attempts.filter { it.action is Action.Charge }
        val resolves = attempts.filter { it.action is Action.Resolve }
        val answers = attempts.filter { it.completed }.map { it.ending.values }.distinct()
        val neverRan = charges.all { it.ending.effect == Effect.NOT_RUN }
        listOfNotNull(
            violation(Promise.AT_MOST_ONCE, count > 1, "$key ran $count times: $attempts"),
            violation(Promise.NO_LOST_WRITE, charges.any { it.completed } && count == 0, "$key: $attempts"),
            violation(Promise.NOT_RUN_IS_TRUE, neverRan && count > 0, "$key: $attempts"),
            violation(Promise.FIRST_ANSWER_AGAIN, answers.size > 1, "$key: $attempts"),
            violation(Promise.RESOLVED_IS_TRUE, resolves.any { it.contradicts(count) }, "$key: $attempts"),
        )
    }

    private fun keyed() = operations.filter { it.key != null }.groupBy { it.key!! }

    private val Operation.key: String?
        get() = when (action) {
            is Action.Charge -> action.key
            is Action.Resolve -> action.key
            else -> null
        }

    /** A resolved "not run" binds all attempts, also later ones. */
    private fun Operation.contradicts(count: Int): Boolean = when (ending.effect) {
        Effect.COMPLETED -> count == 0
        Effect.NOT_RUN -> count > 0
        Effect.UNKNOWN -> false
    }

    private fun accounts(): List<Violation> {
        val perAccount = operations.mapNotNull { it.action as? Action.Charge }.distinct().groupBy { it.account }
        return perAccount.mapNotNull { (account, charges) ->
            val sum = charges.sumOf { final.charges[it.key] ?: 0 }.toLong()
            val wrong = final.rows[account] != sum
            violation(Promise.TRANSACTIONS_ATOMIC, wrong, "$account is ${final.rows[account]} after $sum charges")
        }
    }

    private fun acknowledgedPoints() = operations.filter { it.completed && it.action.changes }.mapNotNull {
        val lost = it.ending.point != null && it.ending.point !in final.points
        violation(Promise.NO_SUPERSEDED_ACKNOWLEDGEMENT, lost, "$it")
    }

    private val Action.changes: Boolean
        get() = this is Action.Book || this is Action.Charge || this is Action.Pair || this is Action.Tick

    private fun pairs() = operations.groupBy { it.action.pair }.filterKeys { it != null }.flatMap { (pair, sent) ->
        val commits = sent.filter { it.action !is Action.ReadPair }
        val present = listOf("$pair-left" in final.rows, "$pair-right" in final.rows)
        val whole = violation(Promise.TRANSACTIONS_ATOMIC, present.distinct().size > 1, "$pair: $commits")
        val outcomes = commits.map { presence(it, present.all { row -> row }) }
        listOfNotNull(whole) + outcomes.filterNotNull()
    }

    private val Action.pair: String?
        get() = when (this) {
            is Action.Pair -> pair
            is Action.CommitAgain -> pair
            else -> null
        }

    private fun pairReads() = operations.filter { it.completed && it.action is Action.ReadPair }.mapNotNull { read ->
        val half = read.ending.values.count { it == null } == 1
        violation(Promise.TRANSACTIONS_ATOMIC, half, "$read")
    }

    private fun agedReads(): List<Violation> {
        val ticks = operations.filter { it.completed && it.action is Action.Tick }
        return operations.filter { it.completed }.mapNotNull { read ->
            val age = (read.action as? Action.ReadAged)?.maximumAge ?: return@mapNotNull null
            val mustSee = ticks.filter { it.completedAt < read.invokedAt - age }
                .maxOfOrNull { (it.action as Action.Tick).value } ?: 0L
            val stale = (read.ending.values.single() ?: 0L) < mustSee
            violation(Promise.STATED_AGE, stale, "$read must have seen tick $mustSee")
        }
    }

    private fun configurations() = history.configurations.mapNotNull { (node, numbers) ->
        val reverted = numbers.zipWithNext().any { (before, after) -> after < before }
        violation(Promise.CONFIGURATION_NEVER_REVERTS, reverted, "node $node: $numbers")
    }

    private fun violation(promise: Promise, broken: Boolean, detail: String) =
        if (broken) Violation(promise, detail) else null
}
