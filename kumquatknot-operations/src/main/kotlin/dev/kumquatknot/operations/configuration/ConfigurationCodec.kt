package dev.kumquatknot.operations.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.FleetConfiguration
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Text form of the configuration: JSON with fields in a fixed order, so that equal configurations have equal text. */
@OptIn(ExperimentalSerializationApi::class)
public object ConfigurationCodec {
    /** Greatest size of an object in the platform's object API, in bytes. */
    public const val MAXIMUM_BYTES: Int = 1_000_000

    private val compact = Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }
    private val readable = Json(compact) {
        prettyPrint = true
        prettyPrintIndent = "  "
    }

    /** Returns the form that is kept in the object API. */
    public fun encode(configuration: FleetConfiguration): String =
        compact.encodeToString(FleetConfiguration.serializer(), configuration)

    /** Returns the form for people and version control, with a line end at its end. */
    public fun encodeReadable(configuration: FleetConfiguration): String =
        readable.encodeToString(FleetConfiguration.serializer(), configuration) + "\n"

    /** Reads either form; the left value says what is wrong. Fields of later versions are ignored. */
    public fun decode(text: String): Either<String, FleetConfiguration> =
        try {
            compact.decodeFromString(FleetConfiguration.serializer(), text).right()
        } catch (error: SerializationException) {
            "this is no configuration: ${error.message.orEmpty().lineSequence().first()}".left()
        } catch (error: IllegalArgumentException) {
            "this is no configuration: ${error.message}".left()
        }
}
