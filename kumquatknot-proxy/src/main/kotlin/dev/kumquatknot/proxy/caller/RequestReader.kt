package dev.kumquatknot.proxy.caller

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.configuration.TeamConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.session.TokenCodec
import dev.kumquatknot.core.transaction.TransactionHandleCodec
import dev.kumquatknot.core.transaction.TransactionReference
import org.http4k.core.Request
import org.http4k.routing.path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a route does. */
internal enum class Operation {
    READ,
    WRITE,
    BEGIN,
    RUN,
    COMMIT,
    ROLLBACK,
    RESOLVE,
    ;

    /** Whether the operation belongs to an interactive transaction that has begun. */
    val inTransaction: Boolean get() = this == RUN || this == COMMIT || this == ROLLBACK

    /** Whether the operation makes changes of data last. */
    val changesData: Boolean get() = this == WRITE || this == COMMIT

    /** Whether the operation gives resources back or only asks, so that no rank bounds it. */
    val releasesResources: Boolean get() = this == COMMIT || this == ROLLBACK || this == RESOLVE
}

/** Turns HTTP requests into checked requests of callers. Nothing has run when it raises a problem. */
internal class RequestReader(private val tokens: TokenCodec, private val handles: TransactionHandleCodec) {
    /** Returns the team whose key the request carries. */
    fun team(request: Request, configuration: FleetConfiguration): Either<Problem, TeamConfiguration> =
        either {
            val header = request.header(CallerHeaders.AUTHORIZATION)
            ensure(header != null && header.startsWith(BEARER, ignoreCase = true)) {
                unauthenticated("the header ${CallerHeaders.AUTHORIZATION} holds no Bearer key")
            }
            val team = TeamKeys.teamOf(header.substring(BEARER.length).trim(), configuration)
            ensureNotNull(team) { unauthenticated("the key belongs to no team") }
        }

    /**
     * Returns the session token that the request carries, an empty one where it carries none. Several tokens, divided
     * by commas, are merged: a session with parallel requests has seen what all their answers say.
     */
    fun token(request: Request, team: TeamConfiguration): Either<Problem, SessionToken> =
        either {
            val texts = request.headerValues(CallerHeaders.SESSION).flatMap { it.orEmpty().split(',') }
            ensure(texts.size <= MAXIMUM_TOKENS) { invalid("more than $MAXIMUM_TOKENS session tokens were sent") }
            texts.fold(SessionToken(team.name)) { merged, text -> merged.mergedWith(token(text.trim(), team.name)) }
        }

    private fun Raise<Problem>.token(text: String, team: TeamName): SessionToken =
        tokens.decode(text, team).mapLeft {
            refused(FailureReason.INVALID_TOKEN, Step.AUTHENTICATE, it.detail)
        }.bind()

    /** Returns the request for [operation] of [team], which arrived at [now]. */
    fun read(
        operation: Operation,
        request: Request,
        id: RequestId,
        team: TeamConfiguration,
        token: SessionToken,
        now: Duration,
    ): Either<Problem, CallerRequest> =
        either {
            val database = database(request, team)
            val transaction = if (operation.inTransaction) transaction(request, team, database) else null
            val kind = kind(request, team, transaction)
            ensureAccess(operation, kind)
            val key = key(operation, request, kind)
            CallerRequest(
                id = id,
                team = team.name,
                kind = kind,
                database = database,
                work = work(operation, request, kind, transaction?.handle),
                token = token,
                key = key,
                deadline = now + allowed(request, CallerHeaders.DEADLINE, kind.deadlineMillis),
            )
        }

    private fun Raise<Problem>.database(request: Request, team: TeamConfiguration): DatabaseName {
        val name = DatabaseName(request.path("database").orEmpty())
        ensure(name in team.databases) {
            refused(FailureReason.FORBIDDEN, Step.AUTHORIZE, "the team ${team.name} may not use the database $name")
        }
        return name
    }

    private fun Raise<Problem>.transaction(
        request: Request,
        team: TeamConfiguration,
        database: DatabaseName,
    ): TransactionReference {
        val reference =
            handles.decode(request.path("handle").orEmpty(), team.name).mapLeft {
                refused(FailureReason.INVALID_REQUEST, Step.AUTHENTICATE, it.detail)
            }.bind()
        ensure(reference.database == database) {
            invalid("the transaction belongs to the database ${reference.database}")
        }
        return reference
    }

    private fun Raise<Problem>.kind(
        request: Request,
        team: TeamConfiguration,
        transaction: TransactionReference?,
    ): KindConfiguration {
        val stated = request.header(CallerHeaders.KIND)?.let(::KindName)
        val name = ensureNotNull(transaction?.kind ?: stated) { invalid("the header ${CallerHeaders.KIND} is missing") }
        ensure(stated == null || stated == name) { invalid("the transaction is of the kind $name") }
        return ensureNotNull(team.kind(name)) {
            refused(FailureReason.UNKNOWN_KIND, Step.AUTHORIZE, "the team ${team.name} has no kind of work $name")
        }
    }

    private fun Raise<Problem>.ensureAccess(operation: Operation, kind: KindConfiguration) {
        val needed = if (operation == Operation.READ) Access.READ else Access.WRITE
        ensure(kind.access == needed) {
            val detail = "the kind ${kind.name} is for ${kind.access.label()}s, this operation needs ${needed.label()}"
            refused(FailureReason.FORBIDDEN, Step.AUTHORIZE, detail)
        }
    }

    private fun Raise<Problem>.key(
        operation: Operation,
        request: Request,
        kind: KindConfiguration,
    ): IdempotencyKey? {
        val header = CallerHeaders.IDEMPOTENCY_KEY
        val text = if (operation == Operation.RESOLVE) request.path("key") else request.header(header)
        if (text == null) {
            ensure(!operation.changesData || kind.repetition != Repetition.AT_MOST_ONCE) {
                val detail = "the kind ${kind.name} runs at most once and needs the header $header"
                refused(FailureReason.KEY_REQUIRED, Step.PARSE, detail)
            }
            return null
        }
        ensure(text.length in 1..MAXIMUM_KEY_LENGTH && text.all { it in KEY_CHARACTERS }) {
            invalid("the idempotency key is not 1 to $MAXIMUM_KEY_LENGTH visible ASCII characters")
        }
        return IdempotencyKey(text)
    }

    private fun Raise<Problem>.work(
        operation: Operation,
        request: Request,
        kind: KindConfiguration,
        transaction: TransactionHandle?,
    ): Work =
        when (operation) {
            Operation.READ -> Work.Read(statements(request), maximumAge(request, kind))
            Operation.WRITE -> Work.Write(statements(request))
            Operation.BEGIN -> Work.Begin
            Operation.RUN -> Work.Run(checkNotNull(transaction), statements(request))
            Operation.COMMIT -> Work.Commit(checkNotNull(transaction))
            Operation.ROLLBACK -> Work.Rollback(checkNotNull(transaction))
            Operation.RESOLVE -> Work.Resolve
        }

    private fun Raise<Problem>.statements(request: Request): List<Statement> =
        StatementJson.parse(request.body.payload).mapLeft(::invalid).bind()

    private fun Raise<Problem>.maximumAge(request: Request, kind: KindConfiguration): Duration? {
        val stated = milliseconds(request, CallerHeaders.MAXIMUM_AGE) ?: return null
        return minOf(stated, kind.maximumAgeMillis ?: stated).milliseconds
    }

    private fun Raise<Problem>.allowed(request: Request, header: String, limitMillis: Long): Duration =
        minOf(milliseconds(request, header) ?: limitMillis, limitMillis).milliseconds

    private fun Raise<Problem>.milliseconds(request: Request, header: String): Long? {
        val text = request.header(header) ?: return null
        val value = text.toLongOrNull()
        ensure(value != null && value >= 0) { invalid("the header $header is not a whole number of milliseconds") }
        return value
    }

    private fun unauthenticated(detail: String) = refused(FailureReason.UNAUTHENTICATED, Step.AUTHENTICATE, detail)

    private fun invalid(detail: String) = refused(FailureReason.INVALID_REQUEST, Step.PARSE, detail)

    private fun refused(reason: FailureReason, step: Step, detail: String): Problem =
        Problem.of(Problem.refused(reason, step, detail))

    private companion object {
        const val BEARER = "Bearer "
        const val MAXIMUM_TOKENS = 16
        const val MAXIMUM_KEY_LENGTH = 255
        val KEY_CHARACTERS = '!'..'~'
    }
}
