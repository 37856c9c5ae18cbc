package dev.kumquatknot.operations.questionnaire

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.operations.document.SourceDocument
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readBytes
import kotlin.io.path.relativeTo

/** A folder of answers: `fleet.json` and one JSON file for each team in `teams/`. */
public class AnswerFolder(private val folder: Path, private val questionnaire: Questionnaire = Questionnaire()) {
    /** Reads and validates all answers. */
    public fun read(): Either<NonEmptyList<Problem>, Answers> {
        if (!folder.isDirectory()) {
            return failure(folder, "the folder does not exist", "give the folder that holds $FLEET_FILE")
        }
        val teams = folder.resolve(TEAMS_FOLDER)
        if (!teams.isDirectory()) {
            return failure(teams, "the folder does not exist", "create it and put one file for each team into it")
        }
        return load(folder.resolve(FLEET_FILE)).flatMap { fleet ->
            loadTeams(teams).flatMap { questionnaire.check(fleet, it) }
        }
    }

    private fun loadTeams(teams: Path): Either<NonEmptyList<Problem>, List<SourceDocument>> {
        val files = teams.listDirectoryEntries().filter { it.extension == "json" }.sorted()
        if (files.isEmpty()) {
            return failure(teams, "the folder holds no team", "put one JSON file for each team into it")
        }
        val loaded = files.map(::load)
        return loaded.firstNotNullOfOrNull { it.leftOrNull() }?.left() ?: loaded.mapNotNull { it.getOrNull() }.right()
    }

    private fun load(path: Path): Either<NonEmptyList<Problem>, SourceDocument> =
        try {
            if (Files.exists(path)) {
                SourceDocument(path.relativeTo(folder).toString(), path.readBytes()).right()
            } else {
                failure(path, "the file does not exist", "create it; examples/ shows how")
            }
        } catch (error: IOException) {
            failure(path, "the file can't be read: ${error.message}", "make it readable")
        }

    private fun failure(path: Path, fault: String, remedy: String): Either<NonEmptyList<Problem>, Nothing> =
        nonEmptyListOf(Problem(path.toString(), "$", null, fault, remedy)).left()

    private companion object {
        const val FLEET_FILE = "fleet.json"
        const val TEAMS_FOLDER = "teams"
    }
}
