package dev.kumquatknot.proxy.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

class OpenApiSpec {
    private val response = CallerApiFixture().handler(Request(Method.GET, CallerApi.OPENAPI_PATH))
    private val document = Json.parseToJsonElement(response.bodyString()).jsonObject

    private fun operations(): List<Triple<String, String, JsonObject>> =
        document.getValue("paths").jsonObject.flatMap { (path, methods) ->
            methods.jsonObject.map { (method, operation) -> Triple(method.uppercase(), path, operation.jsonObject) }
        }

    @Test
    fun `describes exactly the routes that are served`() {
        val served =
            CallerApi.ROUTES.map { "${it.method} ${it.template} ${it.operation.label()}" } +
                "GET ${CallerApi.OPENAPI_PATH} openapi"
        val described = operations().map { (method, path, operation) ->
            "$method $path ${operation.getValue("operationId").jsonPrimitive.content}"
        }
        expectThat(described).containsExactlyInAnyOrder(served)
    }

    @Test
    fun `declares the parameters of each path`() {
        val parameters = document.getValue("components").jsonObject.getValue("parameters").jsonObject
        operations().forEach { (_, path, operation) ->
            val declared =
                (operation["parameters"] ?: JsonArray(emptyList())).jsonArray
                    .map { parameters.getValue(it.reference().substringAfterLast('/')).jsonObject }
                    .filter { it.getValue("in").jsonPrimitive.content == "path" }
                    .map { it.getValue("name").jsonPrimitive.content }
            val inTemplate = Regex("\\{(\\w+)}").findAll(path).map { it.groupValues[1] }.toList()
            expectThat(declared).containsExactlyInAnyOrder(inTemplate)
        }
    }

    @Test
    fun `states the statement limit of the parser`() {
        val statements = schema("Statements").getValue("properties").jsonObject.getValue("statements").jsonObject
        expectThat(statements.getValue("maxItems").jsonPrimitive.content.toInt())
            .isEqualTo(StatementJson.MAXIMUM_STATEMENTS)
    }

    @Test
    fun `has no dangling reference`() {
        val references = references(document)
        expectThat(references).isNotEmpty()
        expectThat(references.filter { resolve(it) == null }).isEmpty()
    }

    private fun schema(name: String): JsonObject = resolve("#/components/schemas/$name")!!.jsonObject

    private fun JsonElement.reference(): String = jsonObject.getValue("\$ref").jsonPrimitive.content

    private fun references(element: JsonElement): List<String> =
        when (element) {
            is JsonObject ->
                element.flatMap { (name, value) ->
                    if (name == "\$ref") listOf(value.jsonPrimitive.content) else references(value)
                }
            is JsonArray -> element.flatMap(::references)
            else -> emptyList()
        }

    private fun resolve(reference: String): JsonElement? =
        reference.removePrefix("#/").split('/').fold(document as JsonElement?) { element, name ->
            (element as? JsonObject)?.get(name)
        }
}
