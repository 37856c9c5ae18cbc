package dev.kumquatknot.app.demo

import arrow.core.getOrElse
import dev.kumquatknot.operations.document.SourceDocument
import dev.kumquatknot.operations.questionnaire.Answers
import dev.kumquatknot.operations.questionnaire.Questionnaire

/** The example answers in the program's resources. */
internal object DemoAnswers {
    /** The names of the team files by the example's folder. */
    val teamFilesByExample: Map<String, List<String>> = mapOf(
        "pesebre-unido" to listOf("counter", "parishes", "warehouse"),
        "nile-edge" to listOf("learners", "instructors", "tool-kits"),
    )

    /** Returns the answers of [example]; throws IllegalStateException where they are invalid. */
    fun read(example: String): Answers {
        val teams = teamFilesByExample.getValue(example).map { document("$example/teams/$it.json") }
        return Questionnaire().check(document("$example/fleet.json"), teams)
            .getOrElse { problems -> error(problems.joinToString("\n")) }
    }

    private fun document(path: String): SourceDocument {
        val stream = checkNotNull(DemoAnswers::class.java.getResourceAsStream("/examples/$path")) {
            "resource /examples/$path is missing"
        }
        return SourceDocument(path, stream.use { it.readBytes() })
    }
}
