package dev.kumquatknot.operations.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.FleetConfiguration
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON encoding of the configuration. Fields have a fixed order, so that equal configurations have equal text. */
@OptIn(ExperimentalSerializationApi::class)
public object ConfigurationCodec {
    /** Greatest size of an object in the platform's object API, in bytes. */
    public const val MAXIMUM_BYTES: Int = 1_000_000

    private val compactJson = Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }
    private val readableJson = Json(compactJson) {
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /** Returns the compact form that is stored in the object API. */
    public fun encode(configuration: FleetConfiguration): String =
        compactJson.encodeToString(FleetConfiguration.serializer(), configuration)

    /** Returns the indented form for people and version control; it ends with a line break. */
    public fun encodeReadable(configuration: FleetConfiguration): String =
        readableJson.encodeToString(FleetConfiguration.serializer(), configuration) + "\n"

    /** Decodes either form; the left value is the error. Unknown fields, as of later versions, are ignored. */
    public fun decode(text: String): Either<String, FleetConfiguration> =
        try {
            compactJson.decodeFromString(FleetConfiguration.serializer(), text).right()
        } catch (error: SerializationException) {
            "not a valid configuration: ${error.message.orEmpty().lineSequence().first()}".left()
        } catch (error: IllegalArgumentException) {
            "not a valid configuration: ${error.message}".left()
        }
}
