package dev.kumquatknot.core.idempotency

import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.request.IdempotencyKey
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.time.Instant

class IdempotencyRecordSpec {
    private val team = TeamName("counter")
    private val key = IdempotencyKey("charge-1")
    private val now = Instant.parse("2026-12-06T18:00:00Z")
    private val work = listOf(Statement("UPDATE account SET paid = paid + ?", listOf(SqlValue.Integer(50))))
    private val answer = listOf(StatementResult(listOf("n"), listOf(listOf(SqlValue.Real(0.1), SqlValue.Null)), 1))

    private fun recordOf(claim: Statement, results: List<StatementResult>?): StatementResult {
        val digest = claim.parameters.first { it is SqlValue.Integer }
        val text = results?.let { IdempotencyRecord.complete(team, key, it).parameters.first() } ?: SqlValue.Text("")
        return StatementResult(listOf("work_digest", "answer"), listOf(listOf(digest, text)))
    }

    @Nested
    inner class `a record` {
        @Test
        fun `returns the first answer for the same work`() {
            val record = recordOf(IdempotencyRecord.insert(team, key, work, now), answer)
            expectThat(IdempotencyRecord.lookup(record, work)).isEqualTo(RecordLookup.SameWork(answer))
        }

        @Test
        fun `reports other work if a statement or a parameter differs`() {
            val record = recordOf(IdempotencyRecord.insert(team, key, work, now), answer)
            val other = listOf(work.single().copy(parameters = listOf(SqlValue.Integer(51))))
            expectThat(IdempotencyRecord.lookup(record, other)).isEqualTo(RecordLookup.OtherWork)
        }

        @Test
        fun `without an answer marks an abandoned key`() {
            val record = recordOf(IdempotencyRecord.abandon(team, key, now), null)
            expectThat(IdempotencyRecord.lookup(record, work)).isEqualTo(RecordLookup.Abandoned)
        }

        @Test
        fun `that is missing proves that nothing committed`() {
            expectThat(IdempotencyRecord.lookup(StatementResult(), work)).isEqualTo(RecordLookup.Absent)
        }

        @Test
        fun `has a different record key for another team with the same idempotency key`() {
            val other = TeamName("parishes")
            expectThat(IdempotencyRecord.select(team, key).parameters)
                .isNotEqualTo(IdempotencyRecord.select(other, key).parameters)
        }
    }

    @Test
    fun `deletes records older than the retention as outdated`() {
        val limit = IdempotencyRecord.deleteOutdated(now).parameters.single()
        val expected = now.toEpochMilli() - IdempotencyRecord.RETENTION.inWholeMilliseconds
        expectThat(limit).isEqualTo(SqlValue.Integer(expected))
    }
}
