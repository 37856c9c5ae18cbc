package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoredObject
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The stand-in platform's HTTP interface. */
internal class PlatformRoutes(
    private val platform: PlatformStandin,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
) {
    val handler: HttpHandler = routes(
        "/objects" bind Method.GET to ::readAll,
        "/objects/{key:.+}" bind routes(Method.GET to ::read, Method.PUT to ::write),
        "/vms" bind Method.GET to ::listVms,
        "/vms/{name}" bind routes(Method.PUT to ::putVm, Method.DELETE to ::removeVm),
        "/calls" bind Method.GET to { json(platform.calls()) },
        "/faults" bind Method.POST to ::setFault,
    )

    private fun listVms(request: Request): Response = platform.listVms().fold(::fail) { list ->
        val tag = "\"${list.hashCode()}\""
        if (request.header("If-None-Match") == tag) {
            Response(Status.NOT_MODIFIED).header("ETag", tag)
        } else {
            json(list).header("ETag", tag)
        }
    }

    private fun read(request: Request): Response {
        if (request.query("watch") != null) return watch(request)
        return platform.readObject(request.key()).fold(::fail) { it?.toResponse() ?: Response(Status.NOT_FOUND) }
    }

    private fun watch(request: Request): Response {
        val known = request.query("known")?.toLongOrNull() ?: return badRequest("known: a version is needed")
        val timeout = request.query("timeout")?.toLongOrNull() ?: return badRequest("timeout: milliseconds are needed")
        return platform.watchObject(request.key(), ObjectVersion(known), timeout.milliseconds)
            .fold(::fail) { it?.toResponse() ?: Response(Status.NOT_MODIFIED) }
    }

    private fun readAll(request: Request): Response = platform.readObjects(request.query("prefix").orEmpty())
        .fold(::fail) { found -> json(found.map { ObjectJson(it.key, it.version.value, it.value) }) }

    private fun write(request: Request): Response {
        val expected = request.expectedVersion()
            ?: return Response(Status(PRECONDITION_REQUIRED, "Precondition Required"))
                .body("If-Match with a version or If-None-Match: * is needed")
        return platform.writeObject(request.key(), request.bodyString(), expected)
            .fold(::fail) { Response(Status.OK).header("ETag", it.etag()) }
    }

    private fun putVm(request: Request): Response = parsing {
        val vm = Json.decodeFromString<ListedVm>(request.bodyString())
        if (vm.name.value != request.path("name")) return badRequest("name: differs from the path")
        platform.putVm(vm)
        Response(Status.NO_CONTENT)
    }

    private fun removeVm(request: Request): Response {
        platform.removeVm(VmName(request.path("name").orEmpty()))
        return Response(Status.NO_CONTENT)
    }

    private fun setFault(request: Request): Response = parsing {
        platform.set(Json.decodeFromString<PlatformFault>(request.bodyString()))
        Response(Status.NO_CONTENT)
    }

    private fun fail(failure: PlatformFailure): Response = when (failure) {
        is PlatformFailure.Conflict -> failure.current?.toResponse(Status.PRECONDITION_FAILED)
            ?: Response(Status.PRECONDITION_FAILED)
        is PlatformFailure.TooLarge -> Response(
            Status.REQUEST_ENTITY_TOO_LARGE,
        ).body("at most ${failure.maximumBytes} bytes")
        PlatformFailure.RateExceeded -> Response(Status.TOO_MANY_REQUESTS).header("Retry-After", "1")
        PlatformFailure.Refused -> Response(Status.SERVICE_UNAVAILABLE)
        PlatformFailure.NoAnswer -> {
            pause(platform.settings.silenceMillis.milliseconds)
            Response(Status.GATEWAY_TIMEOUT)
        }
    }

    private fun Request.key() = path("key").orEmpty()

    private fun Request.expectedVersion(): ObjectVersion? = when {
        header("If-None-Match") == "*" -> ObjectVersion.ABSENT
        else -> header("If-Match")?.trim('"')?.toLongOrNull()?.takeIf { it > 0 }?.let(::ObjectVersion)
    }

    private fun StoredObject.toResponse(status: Status = Status.OK) =
        Response(status).header("ETag", etag()).header("Content-Type", "text/plain; charset=utf-8").body(value)

    private fun StoredObject.etag() = "\"${version.value}\""

    private inline fun parsing(action: () -> Response): Response = try {
        action()
    } catch (failure: SerializationException) {
        badRequest(failure.message.orEmpty())
    }

    private fun badRequest(detail: String) = Response(Status.BAD_REQUEST).body(detail)

    private inline fun <reified T> json(value: T) =
        Response(Status.OK).header("Content-Type", "application/json").body(output.encodeToString(value))

    private companion object {
        const val PRECONDITION_REQUIRED = 428
        val output = Json { encodeDefaults = true }
    }
}

/** One object in the list of a prefix. */
@Serializable
internal data class ObjectJson(val key: String, val version: Long, val value: String)
