package dev.kumquatknot.proxy.caller

import arrow.core.Either
import arrow.core.right
import dev.kumquatknot.core.admission.EdgeLimits
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.configuration.TeamConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.session.TokenCodec
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.transaction.TransactionHandleCodec
import dev.kumquatknot.core.transaction.TransactionReference
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.NodeMetrics
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Request
import org.http4k.core.Response
import java.time.Instant
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A [CallerApi] with two teams and a request handler that the test sets. */
internal class CallerApiFixture(capacity: Int = 100, maximumAnswerBytes: Int = 10_000) {
    val pesebre = TeamName("pesebre")
    val nile = TeamName("nile")
    val inventory = DatabaseName("inventory-1")
    val courses = DatabaseName("courses-1")
    val tokens = TokenCodec(ByteArray(32) { 1 })
    val handles = TransactionHandleCodec(ByteArray(32) { 2 })
    val metrics = NodeMetrics()
    val limits = EdgeLimits(capacity)
    val receivedRequests = mutableListOf<CallerRequest>()
    var now: Duration = 100.seconds
    var answer: (CallerRequest) -> Either<RequestFailure, CallerReply> = { reply(it).right() }
    private val requests = AtomicLong()

    private val clock =
        object : Clock {
            override fun elapsed(): Duration = now

            override fun instant(): Instant = Instant.EPOCH
        }

    val configuration =
        FleetConfiguration(
            1,
            emptyList(),
            emptyList(),
            listOf(
                TeamConfiguration(
                    pesebre,
                    TeamKeys.hashOf(PESEBRE_KEY),
                    listOf(inventory),
                    listOf(
                        kind("book", Rank.URGENT, Access.WRITE, Repetition.AT_MOST_ONCE),
                        kind("clean", Rank.STANDARD, Access.WRITE, Repetition.IDEMPOTENT),
                        kind("browse", Rank.BACKGROUND, Access.READ, Repetition.IDEMPOTENT, maximumAge = 5_000),
                        kind("counter", Rank.URGENT, Access.READ, Repetition.IDEMPOTENT),
                    ),
                ),
                TeamConfiguration(
                    nile,
                    TeamKeys.hashOf("nile-key"),
                    listOf(courses),
                    listOf(kind("enrol", Rank.URGENT, Access.WRITE, Repetition.AT_MOST_ONCE)),
                ),
            ),
        )

    val handler =
        CallerApi(
            { configuration },
            {
                synchronized(receivedRequests) { receivedRequests += it }
                answer(it)
            },
            tokens,
            handles,
            limits,
            clock,
            metrics,
            EventLog(),
            { RequestId("request-${requests.incrementAndGet()}") },
            maximumAnswerBytes,
        ).handler()

    fun post(path: String, kind: String?, vararg headers: Pair<String, String>, body: String = BODY): Response {
        val request = Request(POST, path).header("Authorization", "Bearer $PESEBRE_KEY").body(body)
        val requestOfKind = if (kind == null) request else request.header("Kumquatknot-Kind", kind)
        return handler(headers.fold(requestOfKind) { all, (name, value) -> all.replaceHeader(name, value) })
    }

    fun get(path: String, kind: String): Response =
        handler(
            Request(GET, path).header("Authorization", "Bearer $PESEBRE_KEY").header("Kumquatknot-Kind", kind),
        )

    fun fail(failure: Failure) {
        answer = { Either.Left(RequestFailure(failure, it.token)) }
    }

    fun reply(request: CallerRequest, point: Long = 9): CallerReply =
        CallerReply(
            emptyList(),
            request.token.advancedTo(request.database, HistoryPoint(Term(2), LogPosition(point))),
            MemberName("inventory-1-a"),
            if (request.work is Work.Read) MemberRole.REPLICA else MemberRole.PRIMARY,
        )

    fun handleOf(team: TeamName = pesebre, kind: String = "book", database: DatabaseName = inventory): String =
        handles.encode(TransactionReference(team, database, KindName(kind), TransactionHandle(VmName("vm-1"), 7)))

    fun tokenOf(team: TeamName): String =
        tokens.encode(SessionToken(team, mapOf(inventory to HistoryPoint(Term(1), LogPosition(5)))))

    private fun kind(name: String, rank: Rank, access: Access, repetition: Repetition, maximumAge: Long? = null) =
        KindConfiguration(
            KindName(name),
            rank,
            access,
            Purpose.OTHER,
            repetition,
            targetMillis = 200,
            deadlineMillis = 2_000,
            maximumAgeMillis = maximumAge,
            floorPercent = 10,
        )

    companion object {
        const val PESEBRE_KEY = "pesebre-key"
        const val BODY = """{"statements":[{"text":"select 1"}]}"""
        const val DATABASE = "/v1/databases/inventory-1"
    }
}
