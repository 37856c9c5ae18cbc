package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.TeamConfiguration

/**
 * Generates the configuration of the fleet from the answers.
 *
 * Lists are ordered by name, so that the result does not depend on the order of answers and files. The number is 0
 * until the configuration is applied.
 */
public object ConfigurationGenerator {
    /** Returns the configuration for [answers]. */
    public fun generate(answers: Answers): FleetConfiguration =
        FleetConfiguration(
            number = 0,
            dataCentres = answers.fleet.dataCentres.sortedBy { it.name },
            databases = answers.fleet.databases.sortedBy { it.name }.map { database ->
                database.copy(members = database.members.sortedBy { it.name })
            },
            teams = answers.teams.sortedBy { it.name }.map(::generateTeam),
        )

    private fun generateTeam(team: TeamAnswers): TeamConfiguration =
        TeamConfiguration(team.name, team.keyHash, team.databases.sorted(), team.kinds.sortedBy { it.name })
}
