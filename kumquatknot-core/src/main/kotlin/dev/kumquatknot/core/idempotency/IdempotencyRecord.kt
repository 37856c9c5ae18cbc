package dev.kumquatknot.core.idempotency

import com.dynatrace.hash4j.hashing.Hashing
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.request.IdempotencyKey
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.toJavaDuration

/** Result of looking up the record of an idempotency key. */
public sealed interface RecordLookup {
    /** There is no record: no work with this key had committed in the data that was read. */
    public data object Absent : RecordLookup

    /** The same work has committed; [results] is its first answer. */
    public data class SameWork(val results: List<StatementResult>) : RecordLookup

    /** Different work has committed under this key. */
    public data object OtherWork : RecordLookup

    /** A query for the outcome found no record and abandoned the key, so that work with it can no longer commit. */
    public data object Abandoned : RecordLookup
}

/**
 * SQL statements for the records that make work with an idempotency key run at most once. A record is stored in the
 * database group itself and commits in the transaction of the work, so that both are kept or lost together. Record keys
 * contain the team, so that equal keys of different teams do not collide.
 */
public object IdempotencyRecord {
    /** Time for which a record is kept after its work has committed. */
    public val RETENTION: Duration = 24.hours

    /** Maximum number of outdated records that one clean-up deletes. */
    public const val CLEAN_UP_BATCH: Int = 500

    /** SQL state of a unique violation: another request with the same key has committed first. */
    public const val UNIQUE_VIOLATION: String = "23505"

    /** SQL states with which databases report that the table of records does not exist. */
    public val missingTableStates: Set<String> = setOf("42P01", "42S02", "42S03", "42S04")

    /** Creates the table of records where it does not exist. */
    public val createTable: Statement = Statement(
        "CREATE TABLE IF NOT EXISTS kumquatknot_record (record_key VARCHAR(600) PRIMARY KEY, " +
            "work_digest BIGINT NOT NULL, answer TEXT NOT NULL, created_at BIGINT NOT NULL)",
    )

    /** Inserts the record of [key] with an empty answer; fails with [UNIQUE_VIOLATION] where there is one. */
    public fun insert(team: TeamName, key: IdempotencyKey, work: List<Statement>, now: Instant): Statement = Statement(
        "INSERT INTO kumquatknot_record (record_key, work_digest, answer, created_at) VALUES (?, ?, '', ?)",
        listOf(recordKey(team, key), SqlValue.Integer(digest(work)), SqlValue.Integer(now.toEpochMilli())),
    )

    /** Inserts a record that prevents every attempt with [key] from committing; fails like [insert]. */
    public fun abandon(
        team: TeamName,
        key: IdempotencyKey,
        now: Instant,
    ): Statement = insert(team, key, emptyList(), now)

    /** Stores the answer in the record of [key]; runs in the same transaction as [insert]. */
    public fun complete(team: TeamName, key: IdempotencyKey, results: List<StatementResult>): Statement = Statement(
        "UPDATE kumquatknot_record SET answer = ? WHERE record_key = ?",
        listOf(SqlValue.Text(Json.encodeToString(resultList, results)), recordKey(team, key)),
    )

    /** Selects the record of [key]; [lookup] interprets the result. */
    public fun select(team: TeamName, key: IdempotencyKey): Statement = Statement(
        "SELECT work_digest, answer FROM kumquatknot_record WHERE record_key = ?",
        listOf(recordKey(team, key)),
    )

    /** Deletes up to [CLEAN_UP_BATCH] records that are older than [RETENTION] at [now]. */
    public fun deleteOutdated(now: Instant): Statement = Statement(
        "DELETE FROM kumquatknot_record WHERE record_key IN " +
            "(SELECT record_key FROM kumquatknot_record WHERE created_at < ? LIMIT $CLEAN_UP_BATCH)",
        listOf(SqlValue.Integer(now.minus(RETENTION.toJavaDuration()).toEpochMilli())),
    )

    /**
     * Interprets the [result] of [select] for a request to run [work]; null stands for an outcome query, which
     * names only the key.
     */
    public fun lookup(result: StatementResult, work: List<Statement>?): RecordLookup {
        val row = result.rows.firstOrNull() ?: return RecordLookup.Absent
        val recorded = (row[DIGEST_COLUMN] as SqlValue.Integer).value
        val answer = (row[ANSWER_COLUMN] as SqlValue.Text).value
        if (answer.isEmpty()) return RecordLookup.Abandoned
        if (work != null && recorded != digest(work)) return RecordLookup.OtherWork
        return RecordLookup.SameWork(Json.decodeFromString(resultList, answer))
    }

    private fun recordKey(team: TeamName, key: IdempotencyKey) = SqlValue.Text("${team.value}/${key.value}")

    private fun digest(work: List<Statement>): Long =
        Hashing.komihash5_0().hashCharsToLong(Json.encodeToString(statementList, work))

    private val statementList = ListSerializer(Statement.serializer())
    private val resultList = ListSerializer(StatementResult.serializer())
    private const val DIGEST_COLUMN = 0
    private const val ANSWER_COLUMN = 1
}
