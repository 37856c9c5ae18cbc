package dev.kumquatknot.app.demo

import dev.kumquatknot.client.Answer
import dev.kumquatknot.client.ClientSettings
import dev.kumquatknot.client.IdempotencyKey
import dev.kumquatknot.client.KumquatknotClient
import dev.kumquatknot.client.Outcome
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.configuration.TeamConfiguration
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.operations.today.CheckFigures
import dev.kumquatknot.operations.today.KindIdentity
import kotlinx.serialization.json.long
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One caller of a team: a session that goes through the team's kinds of work and databases in turn, over any node, and
 * at the end reads back all that was acknowledged. Used by one thread.
 */
internal class DemoCaller(private val name: String, private val team: TeamConfiguration, entries: List<String>) {
    private class Written(val id: String, val database: String, val kind: KindConfiguration)

    private val client = KumquatknotClient(ClientSettings(entries, "example-key-of-${team.name}"))
    private val session = client.session()
    private val acknowledged = mutableListOf<Written>()
    private val open = mutableListOf<Pair<Written, Outcome.Unknown>>()
    private val lastWritten = mutableMapOf<String, String>()
    private val staleReads = mutableMapOf<KindName, Long>()
    private var step = 0

    /** Number of requests sent. */
    val requests: Int get() = step

    /** Works for [duration]. */
    fun work(duration: Duration) {
        val end = TimeSource.Monotonic.markNow() + duration
        while (end.hasNotPassedNow()) {
            val kind = team.kinds[step % team.kinds.size]
            val database = team.databases[step / team.kinds.size % team.databases.size].value
            step++
            if (kind.access == Access.WRITE) write(kind, database) else read(kind, database)
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
    }

    /** Asks for open outcomes, reads back all acknowledged work, and returns the results by kind. */
    fun check(): Map<KindIdentity, CheckFigures> {
        open.forEach { (written, outcome) -> if (resolve(outcome) is Outcome.Completed) acknowledged += written }
        val reader = team.kinds.first { it.access == Access.READ }
        val written = acknowledged.groupBy { it.database }.flatMap { (database, rows) ->
            val found = countRows(database, reader)
            rows.map { it.kind.name to found?.let { counts -> figuresOf(counts[it.id] ?: 0) } }
        }
        val stale = staleReads.map { (kind, count) -> kind to CheckFigures(stale = count) }
        return (written + stale).groupBy({ KindIdentity(team.name, it.first) }, { it.second ?: CheckFigures() })
            .mapValues { (_, figures) -> figures.reduce(CheckFigures::plus) }
    }

    private fun write(kind: KindConfiguration, database: String) {
        val written = Written("$name-$step", database, kind)
        val outcome = send(written)
        if (outcome is Outcome.Unknown) open += written to outcome
        if (outcome !is Outcome.Completed && outcome !is Outcome.CompletedWithoutAnswer) return
        acknowledged += written
        lastWritten[database] = written.id
        if (kind.purpose == Purpose.PAYMENT) send(written)
    }

    private fun send(written: Written): Outcome<Answer> {
        val kind = written.kind.name.value
        return if (written.kind.repetition == Repetition.AT_MOST_ONCE) {
            session.write(written.database, kind, DemoWork.add(written.id, kind, name), IdempotencyKey(written.id))
        } else {
            session.write(written.database, kind, DemoWork.put(written.id, kind, name), idempotent = true)
        }
    }

    private fun read(kind: KindConfiguration, database: String) {
        val id = lastWritten[database] ?: return
        val outcome = session.read(database, kind.name.value, DemoWork.count(id))
        val count = (outcome as? Outcome.Completed)?.value?.let { it.results.single().rows.single().single().long }
        if (count == 0L) staleReads.merge(kind.name, 1, Long::plus)
    }

    private fun resolve(outcome: Outcome.Unknown): Outcome<Answer> =
        generateSequence(outcome.resolve()) { if (it is Outcome.Unknown) it.resolve() else null }
            .take(RESOLVE_ATTEMPTS)
            .last()

    private fun countRows(database: String, reader: KindConfiguration): Map<String, Long>? {
        val outcome = session.read(database, reader.name.value, DemoWork.listOf(name), deadline = CHECK_DEADLINE)
        val answer = (outcome as? Outcome.Completed)?.value ?: return null
        return answer.results.single().rows.associate { (id, count) -> id.content to count.long }
    }

    private fun figuresOf(rows: Long): CheckFigures =
        when (rows) {
            0L -> CheckFigures(lost = 1)
            1L -> CheckFigures(kept = 1)
            else -> CheckFigures(doubled = 1)
        }

    private companion object {
        const val RESOLVE_ATTEMPTS = 5
        val PAUSE = 30.milliseconds
        val CHECK_DEADLINE = 10.seconds
    }
}
