package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.ProblemCollector
import dev.kumquatknot.operations.document.SourceDocument
import dev.kumquatknot.operations.document.ValueParser
import dev.kumquatknot.operations.document.ValueParsers
import kotlin.time.Duration

/** Time limits of a kind of work whose team gives none. */
internal data class TimeLimits(val target: Duration, val deadline: Duration)

/** What an answer that was left out counts as. The values stand in the resource `defaults.json`, with their reasons. */
internal data class AnswerDefaults(
    val slots: Int,
    val connections: Int,
    val purpose: Purpose,
    val sharePercent: Int,
    val limits: Map<Rank, TimeLimits>,
) {
    companion object {
        private const val RESOURCE = "defaults.json"

        /** The defaults that the program ships with. */
        val shipped: AnswerDefaults by lazy(::load)

        /** The file of the shipped defaults, for people to read. */
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
                slots = database.needed("slots", ValueParsers.integer(AnswerLimits.SLOTS)),
                connections = database.needed("connections", ValueParsers.integer(AnswerLimits.CONNECTIONS)),
                purpose = kind.needed("purpose", ValueParsers.choice("purpose", AnswerWords.purposes)),
                sharePercent = kind.needed("share", ValueParsers.percent),
                limits = AnswerWords.ranks.entries.associate { (word, rank) ->
                    val section = root.section(word)
                    val target = section.needed("target", ValueParsers.duration)
                    rank to TimeLimits(target, section.needed("deadline", ValueParsers.duration))
                },
            )
            check(collector.problems.isEmpty()) { collector.problems.joinToString("\n") }
            return defaults
        }

        private fun ObjectReader.section(name: String): ObjectReader = checkNotNull(child(name)) { "$RESOURCE: $name" }

        private fun <T : Any> ObjectReader.needed(
            name: String,
            parse: ValueParser<T>,
        ): T = checkNotNull(required(name, "a value", parse)) { "$RESOURCE: $path.$name" }
    }
}
