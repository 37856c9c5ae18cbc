package dev.kumquatknot.operations.questionnaire

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.operations.document.ProblemCollector
import dev.kumquatknot.operations.document.SourceDocument

/**
 * Validates the answers of the fleet and of all teams and fills in the defaults.
 *
 * Reports the problems of all documents together; no configuration is generated from answers with a [Problem].
 */
public class Questionnaire private constructor(private val defaults: AnswerDefaults) {
    /** Creates a questionnaire with the built-in defaults. */
    public constructor() : this(AnswerDefaults.builtIn)

    /** Validates the answers about the fleet in [fleet] and those of each team in [teams]. */
    public fun check(fleet: SourceDocument, teams: List<SourceDocument>): Either<NonEmptyList<Problem>, Answers> {
        val collector = ProblemCollector()
        val fleetAnswers = readerOf(fleet, collector)?.let { FleetAnswersReader(defaults).read(it) }
        val teamAnswers = teams.sortedBy { it.name }.mapNotNull { document ->
            readerOf(document, collector)?.let { reader ->
                TeamAnswersReader(defaults).read(reader)?.let { Located(reader, it) }
            }
        }
        reportDuplicates(teamAnswers, "name", "team name") { it.name.value }
        reportDuplicates(teamAnswers, "keyHash", "key") { it.keyHash }
        val knownDatabases = fleetAnswers?.databases?.map { it.name }
        if (knownDatabases != null) reportUnknownDatabases(teamAnswers, knownDatabases)
        reportExcessShares(teamAnswers)
        val problems = collector.problems.toNonEmptyListOrNull()
        return problems?.left() ?: Answers(checkNotNull(fleetAnswers), teamAnswers.map { it.value }).right()
    }

    private fun readerOf(document: SourceDocument, collector: ProblemCollector): ObjectReader? =
        document.decode().fold(
            { problem ->
                collector.add(problem)
                null
            },
            { ObjectReader(document.name, "$", it, collector) },
        )

    private fun reportUnknownDatabases(teams: List<Located<TeamAnswers>>, known: List<DatabaseName>) {
        teams.forEach { team ->
            team.value.databases.filter { it !in known }.forEach { database ->
                val remedy = "use one of ${known.joinToString()}, or add it to fleet.json"
                team.reader.report("databases", null, "the database \"$database\" is unknown", remedy)
            }
        }
    }

    private fun reportExcessShares(teams: List<Located<TeamAnswers>>) {
        teams.flatMap { it.value.databases }.distinct().sorted().forEach { database ->
            val teamsWithAccess = teams.filter { database in it.value.databases }
            val shares = teamsWithAccess.associateWith { team -> team.value.kinds.sumOf { it.floorPercent } }
            val sum = shares.values.sum()
            if (sum > AnswerLimits.FULL_SHARE_PERCENT) {
                val largest = shares.maxBy { it.value }.key
                val sharesByTeam = shares.entries.joinToString { "${it.key.value.name} ${it.value} %" }
                val fault = "the shares of all kinds of work on database \"$database\" add up to $sum %: $sharesByTeam"
                largest.reader.report("kinds", null, fault, "lower shares until they add up to at most 100 %")
            }
        }
    }
}
