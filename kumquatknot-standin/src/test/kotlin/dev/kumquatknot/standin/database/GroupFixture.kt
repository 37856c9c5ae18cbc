package dev.kumquatknot.standin.database

import arrow.core.Either
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import kotlin.time.Duration.Companion.seconds

internal val a = MemberName("inventory-1-a")
internal val b = MemberName("inventory-1-b")
internal val c = MemberName("inventory-1-c")
internal val vm = VmName("vm-1")
internal val otherVm = VmName("vm-2")
internal val answerTimeout = 5.seconds

internal fun groupSettings(timing: DatabaseTiming = DatabaseTiming(connectMillis = 0, serviceMicros = 0)) =
    DatabaseStandinSettings(
        database = DatabaseConfiguration(
            DatabaseName("inventory-1"),
            listOf(a, b, c).map { MemberConfiguration(it, DataCentre("mendoza-a"), "127.0.0.1:0", 3, 4) },
        ),
        timing = timing,
        schema = listOf("CREATE TABLE costume (id INT PRIMARY KEY, state VARCHAR(20))"),
    )

internal fun batch(
    term: Long,
    vararg statements: String,
    readOnly: Boolean = false,
    end: BatchEnd = BatchEnd.COMMIT,
    request: String = "r",
) = StatementBatch(RequestId(request), Term(term), readOnly, statements.map { Statement(it) }, end)

internal fun insert(id: Int, term: Long = 1, end: BatchEnd = BatchEnd.COMMIT) =
    batch(term, "INSERT INTO costume VALUES ($id, 'free')", end = end)

internal fun MemberConnection.send(batch: StatementBatch): Either<MemberFailure, BatchReply> = run(batch, answerTimeout)

internal fun MemberConnection.ids(term: Long): List<Long> =
    send(batch(term, "SELECT id FROM costume ORDER BY id", readOnly = true))
        .fold({ error(it) }, { reply -> reply.results.single().rows.map { (it.single() as SqlValue.Integer).value } })

internal fun <T> Either<MemberFailure, T>.value(): T = fold({ error(it) }, { it })

internal fun <T> Either<MemberFailure, T>.failure(): MemberFailure = fold({ it }, { error("no failure: $it") })
