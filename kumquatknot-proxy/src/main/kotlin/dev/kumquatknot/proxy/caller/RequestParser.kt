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

/** Operation that a route performs. */
internal enum class Operation {
    READ,
    WRITE,
    BEGIN,
    RUN,
    COMMIT,
    ROLLBACK,
    RESOLVE,
    ;

    /** Whether the operation belongs to an interactive transaction that was begun earlier. */
    val inTransaction: Boolean get() = this == RUN || this == COMMIT || this == ROLLBACK

    /** Whether the operation commits changes of data. */
    val commitsChanges: Boolean get() = this == WRITE || this == COMMIT

    /** Whether the operation releases resources or only queries an outcome: the limits per rank do not apply to it. */
    val releasesResources: Boolean get() = this == COMMIT || this == ROLLBACK || this == RESOLVE
}

/** Parses and validates callers' HTTP requests. When it returns a problem, no work has run. */
internal class RequestParser(private val tokens: TokenCodec, private val handles: TransactionHandleCodec) {
    /** Returns the team whose key the request carries in its authorization header. */
    fun authenticate(request: Request, configuration: FleetConfiguration): Either<Problem, TeamConfiguration> =
        either {
            val header = request.header(CallerHeaders.AUTHORIZATION)
            ensure(header != null && header.startsWith(BEARER, ignoreCase = true)) {
                unauthenticated("the header ${CallerHeaders.AUTHORIZATION} holds no Bearer key")
            }
            val team = TeamKeys.teamOf(header.substring(BEARER.length).trim(), configuration)
            ensureNotNull(team) { unauthenticated("the key belongs to no team") }
        }

    /**
     * Returns the session token of the request, or an empty one if the request has none. Several tokens, separated by
     * commas, are merged: a session with parallel requests has observed the state of all their answers.
     */
    fun sessionToken(request: Request, team: TeamConfiguration): Either<Problem, SessionToken> =
        either {
            val encodedTokens = request.headerValues(CallerHeaders.SESSION).flatMap { it.orEmpty().split(',') }
            ensure(encodedTokens.size <= MAXIMUM_TOKENS) {
                invalid("more than $MAXIMUM_TOKENS session tokens were sent")
            }
            encodedTokens.fold(SessionToken(team.name)) { merged, text ->
                merged.mergedWith(decodeToken(text.trim(), team.name))
            }
        }

    private fun Raise<Problem>.decodeToken(text: String, team: TeamName): SessionToken =
        tokens.decode(text, team).mapLeft {
            rejected(FailureReason.INVALID_TOKEN, Step.AUTHENTICATE, it.detail)
        }.bind()

    /** Parses a request for [operation] by [team] that arrived at [arrivedAt]. */
    fun parse(
        operation: Operation,
        request: Request,
        id: RequestId,
        team: TeamConfiguration,
        token: SessionToken,
        arrivedAt: Duration,
    ): Either<Problem, CallerRequest> =
        either {
            val database = database(request, team)
            val transaction = if (operation.inTransaction) transaction(request, team, database) else null
            val kind = kind(request, team, transaction)
            ensureAccess(operation, kind)
            val key = idempotencyKey(operation, request, kind)
            CallerRequest(
                id = id,
                team = team.name,
                kind = kind,
                database = database,
                work = work(operation, request, kind, transaction?.handle),
                token = token,
                key = key,
                deadline = arrivedAt + boundedDuration(request, CallerHeaders.DEADLINE, kind.deadlineMillis),
            )
        }

    private fun Raise<Problem>.database(request: Request, team: TeamConfiguration): DatabaseName {
        val name = DatabaseName(request.path("database").orEmpty())
        ensure(name in team.databases) {
            rejected(FailureReason.FORBIDDEN, Step.AUTHORIZE, "the team ${team.name} may not use the database $name")
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
                rejected(FailureReason.INVALID_REQUEST, Step.AUTHENTICATE, it.detail)
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
        val requested = request.header(CallerHeaders.KIND)?.let(::KindName)
        val name = ensureNotNull(transaction?.kind ?: requested) {
            invalid("the header ${CallerHeaders.KIND} is missing")
        }
        ensure(requested == null || requested == name) { invalid("the transaction is of the kind $name") }
        return ensureNotNull(team.kind(name)) {
            rejected(FailureReason.UNKNOWN_KIND, Step.AUTHORIZE, "the team ${team.name} has no kind of work $name")
        }
    }

    private fun Raise<Problem>.ensureAccess(operation: Operation, kind: KindConfiguration) {
        val needed = if (operation == Operation.READ) Access.READ else Access.WRITE
        ensure(kind.access == needed) {
            val detail = "the kind ${kind.name} is for ${kind.access.label()}s, this operation needs ${needed.label()}"
            rejected(FailureReason.FORBIDDEN, Step.AUTHORIZE, detail)
        }
    }

    private fun Raise<Problem>.idempotencyKey(
        operation: Operation,
        request: Request,
        kind: KindConfiguration,
    ): IdempotencyKey? {
        val header = CallerHeaders.IDEMPOTENCY_KEY
        val text = if (operation == Operation.RESOLVE) request.path("key") else request.header(header)
        if (text == null) {
            ensure(!operation.commitsChanges || kind.repetition != Repetition.AT_MOST_ONCE) {
                val detail = "the kind ${kind.name} runs at most once and needs the header $header"
                rejected(FailureReason.KEY_REQUIRED, Step.PARSE, detail)
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
        val requested = milliseconds(request, CallerHeaders.MAXIMUM_AGE) ?: return null
        return minOf(requested, kind.maximumAgeMillis ?: requested).milliseconds
    }

    private fun Raise<Problem>.boundedDuration(request: Request, header: String, limitMillis: Long): Duration =
        minOf(milliseconds(request, header) ?: limitMillis, limitMillis).milliseconds

    private fun Raise<Problem>.milliseconds(request: Request, header: String): Long? {
        val text = request.header(header) ?: return null
        val value = text.toLongOrNull()
        ensure(value != null && value >= 0) { invalid("the header $header is not a whole number of milliseconds") }
        return value
    }

    private fun unauthenticated(detail: String) = rejected(FailureReason.UNAUTHENTICATED, Step.AUTHENTICATE, detail)

    private fun invalid(detail: String) = rejected(FailureReason.INVALID_REQUEST, Step.PARSE, detail)

    private fun rejected(reason: FailureReason, step: Step, detail: String): Problem =
        Problem.of(Problem.callerError(reason, step, detail))

    private companion object {
        const val BEARER = "Bearer "
        const val MAXIMUM_TOKENS = 16
        const val MAXIMUM_KEY_LENGTH = 255
        val KEY_CHARACTERS = '!'..'~'
    }
}
