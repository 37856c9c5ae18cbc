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
 * One caller of a team. Its session sends the team's kinds of work to the team's databases in turn, through any node,
 * and at the end reads back all acknowledged writes. Not thread-safe: one thread at a time may use it.
 */
internal class DemoCaller(private val name: String, private val team: TeamConfiguration, entryAddresses: List<String>) {
    private class WriteRecord(val id: String, val database: String, val kind: KindConfiguration)

    private val client = KumquatknotClient(ClientSettings(entryAddresses, "example-key-of-${team.name}"))
    private val session = client.session()
    private val acknowledgedWrites = mutableListOf<WriteRecord>()
    private val unresolvedWrites = mutableListOf<Pair<WriteRecord, Outcome.Unknown>>()
    private val lastWrittenIds = mutableMapOf<String, String>()
    private val staleReadCounts = mutableMapOf<KindName, Long>()
    private var iterationCount = 0

    /** The number of iterations of the load, each with one kind of work at one database. */
    val requests: Int get() = iterationCount

    /** Sends requests for [duration], with a pause of [REQUEST_PAUSE] after each. */
    fun sendRequests(duration: Duration) {
        val end = TimeSource.Monotonic.markNow() + duration
        while (end.hasNotPassedNow()) {
            val kind = team.kinds[iterationCount % team.kinds.size]
            val database = team.databases[iterationCount / team.kinds.size % team.databases.size].value
            iterationCount++
            if (kind.access == Access.WRITE) write(kind, database) else read(kind, database)
            Thread.sleep(REQUEST_PAUSE.inWholeMilliseconds)
        }
    }

    /** Resolves the unknown outcomes, reads back all acknowledged writes, and returns the results by kind. */
    fun checkWrites(): Map<KindIdentity, CheckFigures> {
        unresolvedWrites.forEach { (record, outcome) ->
            if (resolveRepeatedly(outcome) is Outcome.Completed) acknowledgedWrites += record
        }
        val readKind = team.kinds.first { it.access == Access.READ }
        val writeFigures = acknowledgedWrites.groupBy { it.database }.flatMap { (database, records) ->
            val rowCounts = countRows(database, readKind)
            records.map { it.kind.name to rowCounts?.let { counts -> figuresForRowCount(counts[it.id] ?: 0) } }
        }
        val staleFigures = staleReadCounts.map { (kind, count) -> kind to CheckFigures(stale = count) }
        return (writeFigures + staleFigures)
            .groupBy({ KindIdentity(team.name, it.first) }, { it.second ?: CheckFigures() })
            .mapValues { (_, figures) -> figures.reduce(CheckFigures::plus) }
    }

    private fun write(kind: KindConfiguration, database: String) {
        val record = WriteRecord("$name-$iterationCount", database, kind)
        val outcome = send(record)
        if (outcome is Outcome.Unknown) unresolvedWrites += record to outcome
        if (outcome !is Outcome.Completed && outcome !is Outcome.CompletedWithoutAnswer) return
        acknowledgedWrites += record
        lastWrittenIds[database] = record.id
        if (kind.purpose == Purpose.PAYMENT) send(record)
    }

    private fun send(record: WriteRecord): Outcome<Answer> {
        val kind = record.kind.name.value
        return if (record.kind.repetition == Repetition.AT_MOST_ONCE) {
            session.write(
                record.database,
                kind,
                DemoStatements.insert(record.id, kind, name),
                IdempotencyKey(record.id),
            )
        } else {
            session.write(record.database, kind, DemoStatements.replace(record.id, kind, name), idempotent = true)
        }
    }

    private fun read(kind: KindConfiguration, database: String) {
        val id = lastWrittenIds[database] ?: return
        val outcome = session.read(database, kind.name.value, DemoStatements.countById(id))
        val count = (outcome as? Outcome.Completed)?.value?.let { it.results.single().rows.single().single().long }
        if (count == 0L) staleReadCounts.merge(kind.name, 1, Long::plus)
    }

    private fun resolveRepeatedly(outcome: Outcome.Unknown): Outcome<Answer> =
        generateSequence(outcome.resolve()) { if (it is Outcome.Unknown) it.resolve() else null }
            .take(RESOLVE_ATTEMPTS)
            .last()

    /** Returns the number of rows of each id that this caller wrote, or null if the read fails. */
    private fun countRows(database: String, readKind: KindConfiguration): Map<String, Long>? {
        val outcome = session.read(
            database,
            readKind.name.value,
            DemoStatements.countByIdOfCaller(name),
            deadline = CHECK_DEADLINE,
        )
        val answer = (outcome as? Outcome.Completed)?.value ?: return null
        return answer.results.single().rows.associate { (id, count) -> id.content to count.long }
    }

    private fun figuresForRowCount(rowCount: Long): CheckFigures =
        when (rowCount) {
            0L -> CheckFigures(lost = 1)
            1L -> CheckFigures(kept = 1)
            else -> CheckFigures(doubled = 1)
        }

    private companion object {
        const val RESOLVE_ATTEMPTS = 5
        val REQUEST_PAUSE = 30.milliseconds
        val CHECK_DEADLINE = 10.seconds
    }
}
