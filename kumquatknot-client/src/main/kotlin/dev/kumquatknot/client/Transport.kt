package dev.kumquatknot.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Reason why a request got no response. */
public sealed interface TransportFailure {
    /** Description for logs. */
    public val detail: String

    /** No connection was established, so the request was not sent. */
    public data class NotSent(override val detail: String) : TransportFailure

    /** The request may have been sent, but no response arrived. */
    public data class NoAnswer(override val detail: String) : TransportFailure
}

/** Sends a request and waits at most the given time for its response. */
public typealias SendRequest = (request: Request, timeout: Duration) -> Either<TransportFailure, Response>

/** Sends requests over HTTP/1.1 with the HTTP client of the JDK, over persistent connections. */
public class JavaTransport(connectTimeout: Duration = 2.seconds) {
    private val http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(connectTimeout.toJavaDuration())
            .build()

    /** Sends [request] and waits at most [timeout] for its response. */
    public fun send(request: Request, timeout: Duration): Either<TransportFailure, Response> =
        try {
            val response = http.send(request.toHttpRequest(timeout), BodyHandlers.ofByteArray())
            val headers = response.headers().map().flatMap { (name, values) -> values.map { name to it } }
            Response(Status(response.statusCode(), null))
                .headers(headers)
                .body(Body(ByteBuffer.wrap(response.body())))
                .right()
        } catch (failure: ConnectException) {
            TransportFailure.NotSent(failure.describe()).left()
        } catch (failure: HttpConnectTimeoutException) {
            TransportFailure.NotSent(failure.describe()).left()
        } catch (failure: IOException) {
            TransportFailure.NoAnswer(failure.describe()).left()
        } catch (failure: InterruptedException) {
            Thread.currentThread().interrupt()
            TransportFailure.NoAnswer(failure.describe()).left()
        }

    private fun Request.toHttpRequest(timeout: Duration): HttpRequest {
        val builder =
            HttpRequest.newBuilder(URI(uri.toString()))
                .timeout(timeout.toJavaDuration())
                .method(method.name, BodyPublishers.ofByteArray(body.payload.toByteArray()))
        headers.forEach { (name, value) -> builder.header(name, value.orEmpty()) }
        return builder.build()
    }

    private fun ByteBuffer.toByteArray(): ByteArray = ByteArray(remaining()).also { duplicate().get(it) }

    private fun Throwable.describe(): String = message ?: this::class.simpleName.orEmpty()
}
