package dev.kumquatknot.operations.document

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction

/** Raw content of an input file; [name] identifies it in problems. */
public class SourceDocument(public val name: String, private val bytes: ByteArray) {
    /** Creates a document from [text]. */
    public constructor(name: String, text: String) : this(name, text.toByteArray())

    /** Decodes the document as one JSON object; the left value says why it can't be decoded. */
    internal fun decode(): Either<Problem, JsonObject> {
        if (bytes.size > MAXIMUM_BYTES) {
            return problem("the file has ${bytes.size} bytes", "keep it under $MAXIMUM_BYTES bytes").left()
        }
        return decodeText().flatMap(::decodeObject)
    }

    private fun decodeText(): Either<Problem, String> =
        try {
            val decoder = Charsets.UTF_8.newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
            decoder.decode(ByteBuffer.wrap(bytes)).toString().removePrefix(BYTE_ORDER_MARK).right()
        } catch (_: CharacterCodingException) {
            problem("the file is not UTF-8 text", "save it with the encoding UTF-8").left()
        }

    private fun decodeObject(text: String): Either<Problem, JsonObject> {
        if (text.isBlank()) {
            return problem("the file is empty", "write a JSON object, from { to }").left()
        }
        return try {
            val element = Json.parseToJsonElement(text)
            (element as? JsonObject)?.right()
                ?: problem("the file holds no JSON object", "write a JSON object, from { to }").left()
        } catch (error: SerializationException) {
            val reason = error.message.orEmpty().lineSequence().first().trimEnd('.')
            problem("the file is not JSON: $reason", "mend the JSON at that place").left()
        }
    }

    private fun problem(fault: String, remedy: String): Problem = Problem(name, "$", null, fault, remedy)

    private companion object {
        const val MAXIMUM_BYTES = 1_000_000
        const val BYTE_ORDER_MARK = "\uFEFF"
    }
}
