package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.ProblemCollector
import dev.kumquatknot.operations.document.SourceDocument
import dev.kumquatknot.operations.document.ValueParser
import dev.kumquatknot.operations.document.ValueParsers
import kotlin.time.Duration

/** Default time limits of a kind of work. */
internal data class TimeLimits(val target: Duration, val deadline: Duration)

/** Default values of optional answers. The resource `defaults.json` holds the values and their reasons. */
internal data class AnswerDefaults(
    val slots: Int,
    val connections: Int,
    val purpose: Purpose,
    val sharePercent: Int,
    val limits: Map<Rank, TimeLimits>,
) {
    companion object {
        private const val RESOURCE = "defaults.json"

        /** The defaults in the resource `defaults.json`. */
        val builtIn: AnswerDefaults by lazy(::load)

        /** Text of the resource `defaults.json`. */
        val text: String by lazy {
            val resource = checkNotNull(AnswerDefaults::class.java.getResourceAsStream(RESOURCE)) { RESOURCE }
            resource.use { it.readBytes().decodeToString() }
        }

        private fun load(): AnswerDefaults {
            val collector = ProblemCollector()
            val document = SourceDocument(RESOURCE, text)
            val root = document.decode().fold({ error(it.toString()) }) { ObjectReader(RESOURCE, "$", it, collector) }
            val database = root.section("database")
            val kind = root.section("kind")
            val defaults = AnswerDefaults(
                slots = database.requiredDefault("slots", ValueParsers.integer(AnswerLimits.SLOTS)),
                connections = database.requiredDefault("connections", ValueParsers.integer(AnswerLimits.CONNECTIONS)),
                purpose = kind.requiredDefault("purpose", ValueParsers.choice("purpose", AnswerChoices.purposes)),
                sharePercent = kind.requiredDefault("share", ValueParsers.percent),
                limits = AnswerChoices.ranks.entries.associate { (word, rank) ->
                    val section = root.section(word)
                    val target = section.requiredDefault("target", ValueParsers.duration)
                    rank to TimeLimits(target, section.requiredDefault("deadline", ValueParsers.duration))
                },
            )
            check(collector.problems.isEmpty()) { collector.problems.joinToString("\n") }
            return defaults
        }

        private fun ObjectReader.section(name: String): ObjectReader = checkNotNull(child(name)) { "$RESOURCE: $name" }

        private fun <T : Any> ObjectReader.requiredDefault(
            name: String,
            parse: ValueParser<T>,
        ): T = checkNotNull(required(name, "a value", parse)) { "$RESOURCE: $path.$name" }
    }
}
