package dev.kumquatknot.proxy.caller

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import dev.kumquatknot.core.admission.EdgeLimits
import dev.kumquatknot.core.admission.EdgeRefusal
import dev.kumquatknot.core.admission.TeamKind
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.TeamConfiguration
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.HandleRequest
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.session.TokenCodec
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.transaction.TransactionHandleCodec
import dev.kumquatknot.core.transaction.TransactionReference
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.NodeMetrics
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.toPathSegmentDecoded
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.nio.ByteBuffer
import kotlin.time.Duration

/**
 * HTTP API for callers: authenticates and validates each request, limits the requests in flight, passes the request to
 * [handle] and responds with its result or with problem details (RFC 9457). The API is described by `openapi.json`,
 * which is served at `/v1/openapi.json`.
 *
 * @param configuration returns the current configuration.
 * @param handle serves a validated request; blocks at most until the deadline of the request.
 * @param limits limits the requests in flight.
 * @param newRequestId generates a request ID that is unique in the fleet.
 * @param maximumAnswerBytes size limit of an answer in bytes; a larger one is replaced by a problem, never truncated.
 */
public class CallerApi(
    private val configuration: () -> FleetConfiguration,
    private val handle: HandleRequest,
    private val tokens: TokenCodec,
    private val handles: TransactionHandleCodec,
    private val limits: EdgeLimits,
    private val clock: Clock,
    private val metrics: NodeMetrics,
    private val events: EventLog,
    private val newRequestId: () -> RequestId,
    private val maximumAnswerBytes: Int = DEFAULT_MAXIMUM_ANSWER_BYTES,
) {
    private val parser = RequestParser(tokens, handles)

    init {
        metrics.gauge("kumquatknot_requests_in_flight", "Requests of callers in flight at this VM") {
            limits.inFlight().toDouble()
        }
    }

    /** Returns the HTTP handler of all caller routes. */
    public fun handler(): HttpHandler {
        val operations: RoutingHttpHandler = ROUTES.map { it.template bind it.method to handler(it.operation) }.reduce {
            all,
            next,
            ->
            routes(all, next)
        }
        val openApiRoute = OPENAPI_PATH bind Method.GET to { openApi() }
        val knownRoutes = routes(operations, openApiRoute)
        return { request ->
            if (hasDecodablePath(request)) {
                knownRoutes(request).let { if (isUnmatched(it)) unmatchedRoute(request, it) else it }
            } else {
                undecodablePath()
            }
        }
    }

    private fun handler(operation: Operation): HttpHandler = { request ->
        val arrivedAt = clock.elapsed()
        val id = newRequestId()
        parser
            .authenticate(request, configuration())
            .onLeft { recordRejection(it, id) }
            .fold({ it.toResponse(id) }, { team -> serve(operation, request, id, team, arrivedAt) })
    }

    private fun serve(
        operation: Operation,
        request: Request,
        id: RequestId,
        team: TeamConfiguration,
        arrivedAt: Duration,
    ): Response {
        val token =
            parser.sessionToken(request, team).getOrElse {
                recordRejection(it, id)
                return it.toResponse(id)
            }
        return parser.parse(operation, request, id, team, token, arrivedAt).fold(
            {
                recordRejection(it, id)
                it.toResponse(id).withSession(token)
            },
            { admit(operation, it, arrivedAt) },
        )
    }

    private fun admit(operation: Operation, request: CallerRequest, arrivedAt: Duration): Response {
        val teamKind = TeamKind(request.team, request.kind.name)
        return limits
            .enter(teamKind, request.kind.rank, operation.releasesResources)
            .mapLeft { FailedRequest(Problem.of(it.toFailure()), request.token) }
            .flatMap {
                try {
                    handleCatching(request)
                } finally {
                    limits.leave(teamKind)
                }
            }.fold({ failureResponse(request, it, arrivedAt) }, { successResponse(request, it, arrivedAt) })
    }

    @Suppress("TooGenericExceptionCaught") // The caller gets a typed answer for any exception.
    private fun handleCatching(request: CallerRequest): Either<FailedRequest, CallerReply> =
        try {
            handle(request).mapLeft { FailedRequest(Problem.of(it.failure), it.token) }
        } catch (exception: RuntimeException) {
            events.log(Event.REQUEST_BROKEN, "request" to request.id.value, cause = exception)
            val token = if (request.work is Work.Read) request.token else request.token.withUnresolved(request.database)
            FailedRequest(Problem.internalError(), token).left()
        }

    private fun failureResponse(request: CallerRequest, failed: FailedRequest, arrivedAt: Duration): Response {
        val (type, _, failure) = failed.problem
        metrics.requestFailed(request.team, request.kind, type, failure.effect, clock.elapsed() - arrivedAt)
        if (failure.effect == Effect.UNKNOWN) logUnknownOutcome(request, failure)
        return failed.problem.toResponse(request.id).withSession(failed.token)
    }

    private fun successResponse(request: CallerRequest, reply: CallerReply, arrivedAt: Duration): Response {
        val body = Json.encodeToString(JsonObject.serializer(), renderAnswer(request, reply)).toByteArray()
        if (body.size > maximumAnswerBytes) {
            return failureResponse(request, FailedRequest(answerTooLarge(body.size), reply.token), arrivedAt)
        }
        metrics.requestCompleted(request.team, request.kind, clock.elapsed() - arrivedAt)
        if (request.work is Work.Read) reply.role?.let { metrics.readServed(request.team, request.kind, it) }
        if (reply.repeated) metrics.answerRepeated(request.team, request.kind)
        return Response(Status.OK)
            .header("Content-Type", "application/json")
            .body(Body(ByteBuffer.wrap(body)))
            .withSession(reply.token)
    }

    private fun answerTooLarge(size: Int): Problem {
        val detail = "the answer has $size bytes, at most $maximumAnswerBytes are sent; ask for fewer rows"
        return Problem.of(Failure(FailureReason.TOO_LARGE, Effect.COMPLETED, Step.EXECUTE, Peer.Local, detail))
    }

    private fun renderAnswer(request: CallerRequest, reply: CallerReply): JsonObject =
        buildJsonObject {
            put("results", StatementJson.render(reply.results))
            reply.servedBy?.let { put("servedBy", it.value) }
            reply.role?.let { put("role", it.label()) }
            put("repeated", reply.repeated)
            reply.transaction?.let {
                val reference = TransactionReference(request.team, request.database, request.kind.name, it)
                put("transaction", handles.encode(reference))
            }
        }

    private fun recordRejection(problem: Problem, id: RequestId) {
        metrics.callerRejected(problem.failure.reason)
        if (problem.failure.reason == FailureReason.UNAUTHENTICATED) {
            events.log(Event.CALLER_REJECTED, "request" to id.value, "detail" to problem.failure.detail)
        }
    }

    private fun logUnknownOutcome(request: CallerRequest, failure: Failure) {
        events.log(
            Event.OUTCOME_UNKNOWN,
            "request" to request.id.value,
            "team" to request.team.value,
            "kind" to request.kind.name.value,
            "database" to request.database.value,
            "reason" to failure.reason.label(),
            "step" to failure.step.label(),
            "peer" to failure.peer.label(),
        )
    }

    private fun Response.withSession(token: SessionToken): Response = header(
        CallerHeaders.SESSION,
        tokens.encode(token),
    )

    private fun isUnmatched(response: Response): Boolean =
        response.header("Content-Type") == null &&
            (response.status == Status.NOT_FOUND || response.status == Status.METHOD_NOT_ALLOWED)

    private fun unmatchedRoute(request: Request, unmatched: Response): Response {
        val target = "${request.method} ${request.uri.path}"
        val problem =
            if (unmatched.status == Status.METHOD_NOT_ALLOWED) {
                Problem.methodNotAllowed("$target is not served")
            } else {
                Problem.missing("route", Step.PARSE, "$target is not served; see $OPENAPI_PATH")
            }
        metrics.callerRejected(problem.failure.reason)
        return problem.toResponse(newRequestId())
    }

    private fun hasDecodablePath(request: Request): Boolean =
        Either.catchOrThrow<IllegalArgumentException, String> { request.uri.path.toPathSegmentDecoded() }.isRight()

    private fun undecodablePath(): Response {
        val reason = FailureReason.INVALID_REQUEST
        metrics.callerRejected(reason)
        val detail = "the path holds a % that two hexadecimal digits do not follow"
        return Problem.of(Problem.callerError(reason, Step.PARSE, detail)).toResponse(newRequestId())
    }

    private fun openApi(): Response {
        val text = checkNotNull(CallerApi::class.java.getResource(OPENAPI_RESOURCE)).readText()
        return Response(Status.OK).header("Content-Type", "application/json").body(text)
    }

    private fun EdgeRefusal.toFailure(): Failure =
        Failure(FailureReason.OVERLOADED, Effect.NOT_RUN, Step.ADMIT, Peer.Local, detail, retryAfter)

    private data class FailedRequest(val problem: Problem, val token: SessionToken)

    /** One route of the API: its HTTP [method], its path [template] and its operation. */
    internal data class Route(val method: Method, val template: String, val operation: Operation)

    public companion object {
        /** Default size limit of an answer, in bytes. */
        public const val DEFAULT_MAXIMUM_ANSWER_BYTES: Int = 4_194_304

        /** Path of the OpenAPI document. */
        public const val OPENAPI_PATH: String = "/v1/openapi.json"

        private const val OPENAPI_RESOURCE = "/openapi.json"
        private const val DATABASE_PATH = "/v1/databases/{database}"

        /** All routes that run operations at databases. */
        internal val ROUTES: List<Route> =
            listOf(
                Route(Method.POST, "$DATABASE_PATH/read", Operation.READ),
                Route(Method.POST, "$DATABASE_PATH/write", Operation.WRITE),
                Route(Method.POST, "$DATABASE_PATH/transactions", Operation.BEGIN),
                Route(Method.POST, "$DATABASE_PATH/transactions/{handle}", Operation.RUN),
                Route(Method.POST, "$DATABASE_PATH/transactions/{handle}/commit", Operation.COMMIT),
                Route(Method.POST, "$DATABASE_PATH/transactions/{handle}/rollback", Operation.ROLLBACK),
                Route(Method.GET, "$DATABASE_PATH/outcomes/{key}", Operation.RESOLVE),
            )
    }
}
