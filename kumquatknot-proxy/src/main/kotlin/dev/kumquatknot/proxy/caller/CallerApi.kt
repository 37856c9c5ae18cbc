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
 * The callers' HTTP interface: authenticates, checks and bounds each request, hands it to [handle] and answers with
 * its result or with problem details (RFC 9457). `openapi.json` describes it; it is served at `/v1/openapi.json`.
 *
 * @param configuration the configuration in force.
 * @param handle serves a checked request; blocks at most until the request's deadline.
 * @param limits bounds the requests in flight.
 * @param newRequestId makes a request identity that is unique in the fleet.
 * @param maximumAnswerBytes largest answer in bytes; a larger one is replaced by a problem, never cut short.
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
    private val reader = RequestReader(tokens, handles)

    init {
        metrics.gauge("kumquatknot_requests_in_flight", "Requests of callers in flight at this VM") {
            limits.inFlight().toDouble()
        }
    }

    /** Returns the handler of all callers' routes. */
    public fun handler(): HttpHandler {
        val operations: RoutingHttpHandler = ROUTES.map { it.template bind it.method to serve(it.operation) }.reduce {
            all,
            next,
            ->
            routes(all, next)
        }
        val description = OPENAPI_PATH bind Method.GET to { openApi() }
        val known = routes(operations, description)
        return { request ->
            if (hasReadablePath(request)) {
                known(request).let { if (isRoutingMiss(it)) unknownRoute(request, it) else it }
            } else {
                unreadablePath()
            }
        }
    }

    private fun serve(operation: Operation): HttpHandler = { request ->
        val arrival = clock.elapsed()
        val id = newRequestId()
        reader
            .team(request, configuration())
            .onLeft { reject(it, id) }
            .fold({ it.toResponse(id) }, { team -> serve(operation, request, id, team, arrival) })
    }

    private fun serve(
        operation: Operation,
        request: Request,
        id: RequestId,
        team: TeamConfiguration,
        arrival: Duration,
    ): Response {
        val token =
            reader.token(request, team).getOrElse {
                reject(it, id)
                return it.toResponse(id)
            }
        return reader.read(operation, request, id, team, token, arrival).fold(
            {
                reject(it, id)
                it.toResponse(id).withSession(token)
            },
            { admit(operation, it, arrival) },
        )
    }

    private fun admit(operation: Operation, request: CallerRequest, arrival: Duration): Response {
        val teamKind = TeamKind(request.team, request.kind.name)
        return limits
            .enter(teamKind, request.kind.rank, operation.releasesResources)
            .mapLeft { FailedRequest(Problem.of(it.toFailure()), request.token) }
            .flatMap {
                try {
                    handleSafely(request)
                } finally {
                    limits.leave(teamKind)
                }
            }.fold({ failed(request, it, arrival) }, { completed(request, it, arrival) })
    }

    @Suppress("TooGenericExceptionCaught") // The caller gets a typed answer whatever breaks.
    private fun handleSafely(request: CallerRequest): Either<FailedRequest, CallerReply> =
        try {
            handle(request).mapLeft { FailedRequest(Problem.of(it.failure), it.token) }
        } catch (broken: RuntimeException) {
            events.log(Event.REQUEST_BROKEN, "request" to request.id.value, cause = broken)
            val token = if (request.work is Work.Read) request.token else request.token.withUnresolved(request.database)
            FailedRequest(Problem.internal(), token).left()
        }

    private fun failed(request: CallerRequest, failed: FailedRequest, arrival: Duration): Response {
        val (type, _, failure) = failed.problem
        metrics.requestFailed(request.team, request.kind, type, failure.effect, clock.elapsed() - arrival)
        if (failure.effect == Effect.UNKNOWN) logUnknown(request, failure)
        return failed.problem.toResponse(request.id).withSession(failed.token)
    }

    private fun completed(request: CallerRequest, reply: CallerReply, arrival: Duration): Response {
        val body = Json.encodeToString(JsonObject.serializer(), answer(request, reply)).toByteArray()
        if (body.size > maximumAnswerBytes) {
            return failed(request, FailedRequest(tooLarge(body.size), reply.token), arrival)
        }
        metrics.requestCompleted(request.team, request.kind, clock.elapsed() - arrival)
        if (request.work is Work.Read) reply.role?.let { metrics.readServed(request.team, request.kind, it) }
        if (reply.repeated) metrics.answerRepeated(request.team, request.kind)
        return Response(Status.OK)
            .header("Content-Type", "application/json")
            .body(Body(ByteBuffer.wrap(body)))
            .withSession(reply.token)
    }

    private fun tooLarge(size: Int): Problem {
        val detail = "the answer has $size bytes, at most $maximumAnswerBytes are sent; ask for fewer rows"
        return Problem.of(Failure(FailureReason.TOO_LARGE, Effect.COMPLETED, Step.EXECUTE, Peer.Local, detail))
    }

    private fun answer(request: CallerRequest, reply: CallerReply): JsonObject =
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

    private fun reject(problem: Problem, id: RequestId) {
        metrics.callerRejected(problem.failure.reason)
        if (problem.failure.reason == FailureReason.UNAUTHENTICATED) {
            events.log(Event.CALLER_REJECTED, "request" to id.value, "detail" to problem.failure.detail)
        }
    }

    private fun logUnknown(request: CallerRequest, failure: Failure) {
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

    private fun isRoutingMiss(response: Response): Boolean =
        response.header("Content-Type") == null &&
            (response.status == Status.NOT_FOUND || response.status == Status.METHOD_NOT_ALLOWED)

    private fun unknownRoute(request: Request, miss: Response): Response {
        val what = "${request.method} ${request.uri.path}"
        val problem =
            if (miss.status == Status.METHOD_NOT_ALLOWED) {
                Problem.methodNotAllowed("$what is not served")
            } else {
                Problem.missing("route", Step.PARSE, "$what is not served; see $OPENAPI_PATH")
            }
        metrics.callerRejected(problem.failure.reason)
        return problem.toResponse(newRequestId())
    }

    private fun hasReadablePath(request: Request): Boolean =
        Either.catchOrThrow<IllegalArgumentException, String> { request.uri.path.toPathSegmentDecoded() }.isRight()

    private fun unreadablePath(): Response {
        val reason = FailureReason.INVALID_REQUEST
        metrics.callerRejected(reason)
        val detail = "the path holds a % that two hexadecimal digits do not follow"
        return Problem.of(Problem.refused(reason, Step.PARSE, detail)).toResponse(newRequestId())
    }

    private fun openApi(): Response {
        val text = checkNotNull(CallerApi::class.java.getResource(OPENAPI_RESOURCE)).readText()
        return Response(Status.OK).header("Content-Type", "application/json").body(text)
    }

    private fun EdgeRefusal.toFailure(): Failure =
        Failure(FailureReason.OVERLOADED, Effect.NOT_RUN, Step.ADMIT, Peer.Local, detail, retryAfter)

    private data class FailedRequest(val problem: Problem, val token: SessionToken)

    /** One route of the interface: its [method], its path [template] and what it does. */
    internal data class Route(val method: Method, val template: String, val operation: Operation)

    public companion object {
        /** Largest answer in bytes, where nothing else is said. */
        public const val DEFAULT_MAXIMUM_ANSWER_BYTES: Int = 4_194_304

        /** Path of the interface's description. */
        public const val OPENAPI_PATH: String = "/v1/openapi.json"

        private const val OPENAPI_RESOURCE = "/openapi.json"
        private const val DATABASE_PATH = "/v1/databases/{database}"

        /** All routes that serve databases. */
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
