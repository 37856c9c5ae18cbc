package dev.kumquatknot.proxy.adapter.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.http.NestingLimit
import dev.kumquatknot.proxy.http.encodeForUri
import dev.kumquatknot.proxy.http.parseSocketAddress
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * [ObjectStore] client of the platform's HTTP API at [baseUri], such as `http://10.0.0.1:8080`.
 *
 * A call that could not connect fails with [StoreFailure.Refused]; a call that was sent but got no usable answer fails
 * with [StoreFailure.NoAnswer].
 *
 * @param timeout time limit of a call; a watch may take its own timeout in addition.
 * @param onRefusedEntry called with the reason for which an entry of the list of VMs names no VM.
 */
public class HttpObjectStore(
    private val baseUri: URI,
    private val timeout: Duration = ObjectStore.CALL_TIMEOUT,
    private val onRefusedEntry: (String) -> Unit = {},
) : ObjectStore {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(timeout.toJavaDuration())
        .build()

    @Volatile
    private var cachedVmList: TaggedVmList? = null

    @Volatile
    private var refusedEntries = emptySet<String>()

    override fun read(key: String): Either<StoreFailure, StoredObject?> =
        send(request(objectUri(key)).GET()).flatMap { response ->
            when (response.statusCode()) {
                OK -> response.toObject(key)
                NOT_FOUND -> null.right()
                else -> response.toFailure(key).left()
            }
        }

    override fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>> =
        send(request(uri("/objects?prefix=${encodeForUri(prefix)}")).GET()).flatMap { response ->
            response.toList<ObjectJson>().map { objects ->
                objects.map { StoredObject(it.key, ObjectVersion(it.version), it.value) }
            }
        }

    override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
        val put = request(objectUri(key)).PUT(HttpRequest.BodyPublishers.ofString(value))
        if (expected == ObjectVersion.ABSENT) {
            put.header("If-None-Match", "*")
        } else {
            put.header("If-Match", "\"${expected.value}\"")
        }
        return send(put).flatMap { response ->
            val version = response.objectVersion()
            when {
                response.statusCode() != OK -> response.toFailure(key).left()
                version == null -> StoreFailure.NoAnswer("the answer to a write carries no version").left()
                else -> StoredObject(key, version, value).right()
            }
        }
    }

    override fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?> {
        val uri = URI("${objectUri(key)}?watch=true&known=${known.value}&timeout=${timeout.inWholeMilliseconds}")
        return send(request(uri, this.timeout + timeout).GET()).flatMap { response ->
            when (response.statusCode()) {
                OK -> response.toObject(key)
                NOT_MODIFIED -> null.right()
                else -> response.toFailure(key).left()
            }
        }
    }

    override fun vms(): Either<StoreFailure, List<ListedVm>> =
        send(vmsRequest()).flatMap { response ->
            val cached = cachedVmList
            if (response.statusCode() == NOT_MODIFIED && cached != null) {
                cached.vms.right()
            } else {
                response.toList<JsonElement>().map(::listedVms).onRight { cache(response, it) }
            }
        }

    /** Returns the VMs that [entries] name. An unusable entry is reported when it is new. */
    private fun listedVms(entries: List<JsonElement>): List<ListedVm> {
        val read = entries.map(::listedVm)
        val problems = read.mapNotNull { it.swap().getOrNull() }.toSet()
        (problems - refusedEntries).forEach(onRefusedEntry)
        refusedEntries = problems
        return read.mapNotNull { it.getOrNull() }
    }

    private fun listedVm(entry: JsonElement): Either<String, ListedVm> = try {
        val vm = lenientJson.decodeFromJsonElement(ListedVm.serializer(), entry)
        if (parseSocketAddress(vm.address) == null) "the address of ${vm.name} is invalid".left() else vm.right()
    } catch (failure: SerializationException) {
        failure.message.orEmpty().lineSequence().first().left()
    }

    private fun vmsRequest(): HttpRequest.Builder {
        val request = request(uri("/vms")).GET()
        return cachedVmList?.let { request.header("If-None-Match", it.tag) } ?: request
    }

    private fun cache(response: HttpResponse<String>, vms: List<ListedVm>) {
        cachedVmList = response.headers().firstValue("ETag").map { TaggedVmList(it, vms) }.orElse(null)
    }

    private fun send(request: HttpRequest.Builder): Either<StoreFailure, HttpResponse<String>> = try {
        client.send(request.build(), HttpResponse.BodyHandlers.ofString()).right()
    } catch (failure: ConnectException) {
        StoreFailure.Refused("no connection: ${failure.message}").left()
    } catch (_: HttpConnectTimeoutException) {
        StoreFailure.Refused("no connection within $timeout").left()
    } catch (failure: IOException) {
        StoreFailure.NoAnswer(failure.message ?: failure.toString()).left()
    } catch (_: InterruptedException) {
        Thread.currentThread().interrupt()
        StoreFailure.NoAnswer("the call was interrupted").left()
    }

    private fun request(uri: URI, requestTimeout: Duration = timeout) =
        HttpRequest.newBuilder(uri).timeout(requestTimeout.toJavaDuration())

    private fun objectUri(key: String) = uri("/objects/" + key.split('/').joinToString("/", transform = ::encodeForUri))

    private fun uri(path: String) = URI(baseUri.toString().trimEnd('/') + path)

    private fun HttpResponse<String>.objectVersion(): ObjectVersion? =
        headers().firstValue("ETag").orElse("").trim('"').toLongOrNull()?.let(::ObjectVersion)

    private fun HttpResponse<String>.toObject(key: String): Either<StoreFailure, StoredObject> =
        objectVersion()?.let { StoredObject(key, it, body()).right() }
            ?: StoreFailure.NoAnswer("the answer carries no version").left()

    private inline fun <reified T> HttpResponse<String>.toList(): Either<StoreFailure, List<T>> = try {
        if (statusCode() == OK) {
            Json.decodeFromString<List<T>>(NestingLimit.apply(body())).right()
        } else {
            toFailure(null).left()
        }
    } catch (failure: SerializationException) {
        StoreFailure.NoAnswer("the answer is no list: ${failure.message}").left()
    }

    private fun HttpResponse<String>.toFailure(key: String?): StoreFailure = when (statusCode()) {
        PRECONDITION_FAILED ->
            StoreFailure.Conflict(key?.let { k -> objectVersion()?.let { StoredObject(k, it, body()) } })
        in refusalStatuses -> StoreFailure.Refused("status ${statusCode()}: ${body()}")
        else -> StoreFailure.NoAnswer("status ${statusCode()}")
    }

    /** The list of VMs that was read last, with its entity [tag] for conditional requests. */
    private class TaggedVmList(val tag: String, val vms: List<ListedVm>)

    private companion object {
        const val OK = 200
        const val NOT_MODIFIED = 304
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
        const val SERVICE_UNAVAILABLE = 503

        /** Entries may gain fields. */
        val lenientJson = Json { ignoreUnknownKeys = true }
        val refusalStatuses = (400..499) + SERVICE_UNAVAILABLE
    }
}

/** One object in the platform's list of objects with a common key prefix. */
@Serializable
private data class ObjectJson(val key: String, val version: Long, val value: String)
