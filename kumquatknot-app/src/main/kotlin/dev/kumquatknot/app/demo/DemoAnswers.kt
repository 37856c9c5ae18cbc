package dev.kumquatknot.app.demo

import arrow.core.getOrElse
import dev.kumquatknot.operations.document.SourceDocument
import dev.kumquatknot.operations.questionnaire.Answers
import dev.kumquatknot.operations.questionnaire.Questionnaire

/** The example answers that the program carries with it. */
internal object DemoAnswers {
    /** Folders of the examples with the files of their teams. */
    val examples: Map<String, List<String>> = mapOf(
        "pesebre-unido" to listOf("counter", "parishes", "warehouse"),
        "nile-edge" to listOf("learners", "instructors", "tool-kits"),
    )

    /** Returns the answers of [example]. */
    fun read(example: String): Answers {
        val teams = examples.getValue(example).map { document("$example/teams/$it.json") }
        return Questionnaire().check(document("$example/fleet.json"), teams)
            .getOrElse { problems -> error(problems.joinToString("\n")) }
    }

    private fun document(path: String): SourceDocument {
        val stream = checkNotNull(DemoAnswers::class.java.getResourceAsStream("/examples/$path")) { "resource $path" }
        return SourceDocument(path, stream.use { it.readBytes() })
    }
}
