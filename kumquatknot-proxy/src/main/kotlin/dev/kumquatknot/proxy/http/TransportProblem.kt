package dev.kumquatknot.proxy.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Reason for rejecting a request at the HTTP layer, before it reaches a handler. The response closes the connection.
 */
internal enum class TransportProblem(private val status: HttpResponseStatus, private val type: String) {
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too-large"),
    HEADERS_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too-large"),
    REQUEST_TIMEOUT(HttpResponseStatus.REQUEST_TIMEOUT, "request-timeout"),
    INVALID_MESSAGE(HttpResponseStatus.BAD_REQUEST, "invalid-request"),
    ;

    /** Returns the error response with problem details in JSON. */
    fun response(detail: String): FullHttpResponse {
        val body = Json.encodeToString(JsonObject.serializer(), problem(detail)).toByteArray()
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        response
            .headers()
            .set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
            .set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return response
    }

    private fun problem(detail: String): JsonObject =
        JsonObject(
            mapOf(
                "type" to JsonPrimitive("urn:kumquatknot:problem:$type"),
                "title" to JsonPrimitive(status.reasonPhrase()),
                "status" to JsonPrimitive(status.code()),
                "detail" to JsonPrimitive(detail),
                "step" to JsonPrimitive("parse"),
                "peer" to JsonPrimitive("caller"),
                "effect" to JsonPrimitive("not-run"),
            ),
        )
}
