package dev.kumquatknot.proxy.caller

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.proxy.http.NestingLimit
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException

/**
 * Parses statements from JSON request bodies and renders results as JSON. A parameter or cell is a plain JSON scalar:
 * a number without fraction and exponent is a 64-bit integer, any other number a 64-bit floating-point number.
 */
internal object StatementJson {
    /** Maximum number of statements in one request. */
    const val MAXIMUM_STATEMENTS = 100

    /** Maximum number of parameters in one statement. */
    const val MAXIMUM_PARAMETERS = 1_000

    private const val MAXIMUM_DEPTH = 8
    private val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    private val INTEGER = Regex("-?[0-9]+")

    /** Parses the statements of a request's [body]; the error describes what is invalid. */
    fun parse(body: ByteBuffer): Either<String, List<Statement>> =
        either {
            val document = decode(body)
            ensure(document is JsonObject) { "the body is not a JSON object" }
            ensureKnownFields(document, setOf("statements"), "the body")
            val statements = document["statements"]
            ensure(statements is JsonArray) { "statements is not an array" }
            ensure(statements.size in 1..MAXIMUM_STATEMENTS) {
                "statements has ${statements.size} elements, 1 to $MAXIMUM_STATEMENTS are served"
            }
            statements.mapIndexed { index, element -> statement("statements[$index]", element) }
        }

    /** Returns the results as a JSON array. */
    fun render(results: List<StatementResult>): JsonArray = JsonArray(results.map(::render))

    private fun Raise<String>.decode(body: ByteBuffer): JsonElement {
        val text =
            Either.catchOrThrow<CharacterCodingException, String> {
                Charsets.UTF_8.newDecoder().decode(body.duplicate()).toString()
            }.mapLeft { "the body is not UTF-8" }.bind()
        ensure(!NestingLimit.isExceeded(text, MAXIMUM_DEPTH)) { "the body is nested deeper than $MAXIMUM_DEPTH levels" }
        return Either.catchOrThrow<SerializationException, JsonElement> { Json.parseToJsonElement(text) }
            .mapLeft { "the body is not JSON: ${it.message?.lineSequence()?.first().orEmpty()}" }
            .bind()
    }

    private fun Raise<String>.statement(path: String, element: JsonElement): Statement {
        ensure(element is JsonObject) { "$path is not an object" }
        ensureKnownFields(element, setOf("text", "parameters"), path)
        val text = element["text"]
        ensure(text is JsonPrimitive && text.isString) { "$path.text is not a string" }
        ensure(text.content.isNotBlank()) { "$path.text is empty" }
        ensure(isUnicode(text.content)) { "$path.text has an unpaired surrogate, which is no character" }
        // PostgreSQL's protocol ends the text of a statement at this character and reads what follows as other fields.
        ensure('\u0000' !in text.content) { "$path.text has the character U+0000" }
        val parameters = element["parameters"] ?: JsonArray(emptyList())
        ensure(parameters is JsonArray) { "$path.parameters is not an array" }
        ensure(parameters.size <= MAXIMUM_PARAMETERS) {
            "$path.parameters has ${parameters.size} elements, at most $MAXIMUM_PARAMETERS are served"
        }
        return Statement(text.content, parameters.mapIndexed { index, item -> value("$path.parameters[$index]", item) })
    }

    private fun Raise<String>.value(path: String, element: JsonElement): SqlValue {
        ensure(element is JsonPrimitive) { "$path is not a string, number, truth value or null" }
        return when {
            element is JsonNull -> SqlValue.Null
            element.isString -> text(path, element.content)
            element.content == "true" || element.content == "false" -> SqlValue.Bool(element.content.toBoolean())
            else -> number(path, element.content)
        }
    }

    private fun Raise<String>.text(path: String, content: String): SqlValue {
        ensure(isUnicode(content)) { "$path has an unpaired surrogate, which is no character" }
        return SqlValue.Text(content)
    }

    /** Whether [text] can be encoded; every unpaired surrogate would be sent to other VMs as a question mark. */
    private fun isUnicode(text: String) = Charsets.UTF_8.newEncoder().canEncode(text)

    private fun Raise<String>.number(path: String, text: String): SqlValue {
        ensure(NUMBER.matches(text)) { "$path is not a string, number, truth value or null" }
        if (INTEGER.matches(text)) {
            val integer = text.toLongOrNull()
            ensure(integer != null) { "$path is an integer of more than 64 bits" }
            return SqlValue.Integer(integer)
        }
        val real = text.toDouble()
        ensure(real.isFinite()) { "$path is a number beyond 64-bit floating point" }
        return SqlValue.Real(real)
    }

    private fun Raise<String>.ensureKnownFields(element: JsonObject, known: Set<String>, path: String) {
        val unknown = element.keys.firstOrNull { it !in known }
        ensure(unknown == null) { "$path has the unknown field $unknown" }
    }

    private fun render(result: StatementResult): JsonObject =
        buildJsonObject {
            put("columns", JsonArray(result.columns.map(::JsonPrimitive)))
            put("rows", JsonArray(result.rows.map { row -> JsonArray(row.map(::render)) }))
            put("updatedRows", result.updatedRows)
        }

    private fun render(value: SqlValue): JsonElement =
        when (value) {
            SqlValue.Null -> JsonNull
            is SqlValue.Text -> JsonPrimitive(value.value)
            is SqlValue.Integer -> JsonPrimitive(value.value)
            is SqlValue.Real -> if (value.value.isFinite()) JsonPrimitive(value.value) else nonFiniteText(value.value)
            is SqlValue.Bool -> JsonPrimitive(value.value)
        }

    private fun nonFiniteText(value: Double): JsonPrimitive = JsonPrimitive(value.toString())
}
