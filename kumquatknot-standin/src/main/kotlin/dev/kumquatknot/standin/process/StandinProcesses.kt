package dev.kumquatknot.standin.process

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.standin.database.DatabaseGroup
import dev.kumquatknot.standin.database.DatabaseGroupServer
import dev.kumquatknot.standin.database.DatabaseStandinSettings
import dev.kumquatknot.standin.platform.PlatformServer
import dev.kumquatknot.standin.platform.PlatformStandin
import dev.kumquatknot.standin.platform.PlatformStandinSettings
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Starts the stand-ins from JSON settings files on behalf of the command line. */
public object StandinProcesses {
    /** Starts the platform with the [PlatformStandinSettings] in [file]. */
    public fun startPlatform(file: Path): Either<NonEmptyList<Problem>, StandinProcess> =
        readSettings(file, serializer<PlatformStandinSettings>())
            .flatMap { it.orProblems(it.problems(file.toString())) }
            .flatMap { settings -> start(file) { servePlatform(settings) } }

    /** Starts a database group with the [DatabaseStandinSettings] in [file]. */
    public fun startDatabase(file: Path): Either<NonEmptyList<Problem>, StandinProcess> =
        readSettings(file, serializer<DatabaseStandinSettings>())
            .flatMap { it.orProblems(it.problems(file.toString())) }
            .flatMap { settings -> start(file) { serveDatabase(settings) } }

    private fun servePlatform(settings: PlatformStandinSettings): StandinProcess {
        val server = PlatformServer(PlatformStandin(settings))
        server.start()
        return StandinProcess("platform ready at ${server.address()}", server::close)
    }

    private fun serveDatabase(settings: DatabaseStandinSettings): StandinProcess {
        val group = DatabaseGroup(settings)
        val server = DatabaseGroupServer(group, settings.database.members)
        try {
            server.start()
        } catch (failure: IOException) {
            server.close()
            group.close()
            throw failure
        }
        group.startReplication()
        val addresses = server.addresses().joinToString(" ") { "${it.name}=${it.address}" }
        return StandinProcess("database ${settings.database.name} ready at $addresses") {
            server.close()
            group.close()
        }
    }

    private fun <T> readSettings(file: Path, serializer: KSerializer<T>): Either<NonEmptyList<Problem>, T> = try {
        Json.decodeFromString(serializer, file.readText()).right()
    } catch (failure: IOException) {
        problem(file, "the file can't be read: ${failure.javaClass.simpleName}", "give a settings file that exists")
    } catch (failure: SerializationException) {
        val reason = failure.message.orEmpty().lineSequence().first().trimEnd('.')
        problem(file, reason, "correct the file; docs/operators/standins.md lists the fields")
    }

    private fun start(file: Path, action: () -> StandinProcess): Either<NonEmptyList<Problem>, StandinProcess> = try {
        action().right()
    } catch (failure: IOException) {
        problem(file, "the address can't be used: ${failure.message}", "give a free port, or 0 for any")
    } catch (failure: IllegalArgumentException) {
        problem(file, failure.message.orEmpty(), "correct the schema")
    }

    private fun <T> T.orProblems(problems: List<Problem>): Either<NonEmptyList<Problem>, T> =
        problems.toNonEmptyListOrNull()?.left() ?: right()

    private fun problem(file: Path, fault: String, remedy: String) =
        nonEmptyListOf(Problem(file.toString(), "$", null, fault, remedy)).left()
}
