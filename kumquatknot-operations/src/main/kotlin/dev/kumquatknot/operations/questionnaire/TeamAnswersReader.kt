package dev.kumquatknot.operations.questionnaire

import arrow.core.raise.nullable
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.ValueParsers
import kotlinx.serialization.json.JsonPrimitive

/** Reads and validates the answers of one team. */
internal class TeamAnswersReader(private val defaults: AnswerDefaults) {
    fun read(root: ObjectReader): TeamAnswers? {
        val name = root.required("name", "\"counter\"", ValueParsers.name)
        val callers = root.required("callers", "\"Counter staff in all shops\"", ValueParsers.text)
        val keyHash = root.required("keyHash", "the SHA-256 hash of the team's key", ValueParsers.sha256)
        val databases = root.values("databases", "[\"inventory-1\"]", ValueParsers.name)
        val kinds = root.objects("kinds", "[{\"name\": \"book-costume\", ...}]")
            .mapNotNull { reader -> readKind(reader)?.let { Located(reader, it) } }
        root.reportUnknownFields()
        reportDuplicates(kinds, "name", "kind of work") { it.name.value }
        return nullable {
            TeamAnswers(
                root.file,
                TeamName(name.bind()),
                callers.bind(),
                keyHash.bind(),
                databases.map(::DatabaseName).distinct(),
                kinds.map { it.value },
            )
        }
    }

    private fun readKind(reader: ObjectReader): KindConfiguration? {
        val name = reader.required("name", "\"book-costume\"", ValueParsers.name)
        val rank = reader.required("rank", "\"urgent\"", ValueParsers.choice("rank", AnswerChoices.ranks))
        val access = reader.required("access", "\"read\"", ValueParsers.choice("access", AnswerChoices.accesses))
        val purpose =
            reader.optional("purpose", defaults.purpose, ValueParsers.choice("purpose", AnswerChoices.purposes))
        val mayBeRepeated = reader.optional("mayBeRepeated", access == Access.READ, ValueParsers.boolean)
        val limits = defaults.limits.getValue(rank ?: Rank.STANDARD)
        val target = reader.optional("target", limits.target, ValueParsers.duration)
        val deadline = reader.optional("deadline", limits.deadline, ValueParsers.duration)
        val maximumAge = reader.optional("age", null, ValueParsers.duration)
        val share = reader.optional("share", defaults.sharePercent, ValueParsers.percent)
        reader.reportUnknownFields()
        val kind = nullable {
            KindConfiguration(
                KindName(name.bind()),
                rank.bind(),
                access.bind(),
                purpose.bind(),
                if (mayBeRepeated.bind()) Repetition.IDEMPOTENT else Repetition.AT_MOST_ONCE,
                target.bind().inWholeMilliseconds,
                deadline.bind().inWholeMilliseconds,
                maximumAge?.inWholeMilliseconds,
                share.bind(),
            )
        }
        return kind?.also { reportContradictions(reader, it) }
    }

    private fun reportContradictions(reader: ObjectReader, kind: KindConfiguration) {
        if (kind.targetMillis > kind.deadlineMillis) {
            val fault = "the target of ${kind.targetMillis} ms is above the deadline of ${kind.deadlineMillis} ms"
            reader.report("target", null, fault, "lower the target or raise the deadline")
        }
        if (kind.access == Access.WRITE && kind.maximumAgeMillis != null) {
            reader.report("age", null, "a write accepts no stale data", "remove \"age\" or make the access \"read\"")
        }
        if (kind.access == Access.READ && kind.repetition == Repetition.AT_MOST_ONCE) {
            val fault = "a read changes nothing and may always be repeated"
            reader.report("mayBeRepeated", JsonPrimitive(false), fault, "remove the field or make the access \"write\"")
        }
        if (kind.access == Access.WRITE &&
            kind.purpose == Purpose.PAYMENT &&
            kind.repetition == Repetition.IDEMPOTENT
        ) {
            val fault = "a payment that may be repeated takes money twice"
            reader.report("mayBeRepeated", JsonPrimitive(true), fault, "write false or choose another purpose")
        }
    }
}
