package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.DataCentreConfiguration
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.TeamName

/** Answers about the fleet: its data centres and database groups. */
public data class FleetAnswers(
    val dataCentres: List<DataCentreConfiguration>,
    val databases: List<DatabaseConfiguration>,
)

/**
 * Answers of one team.
 *
 * @property callers free-text description of the callers.
 * @property keyHash SHA-256 of the team's key, in lower-case hexadecimal digits.
 */
public data class TeamAnswers(
    val file: String,
    val name: TeamName,
    val callers: String,
    val keyHash: String,
    val databases: List<DatabaseName>,
    val kinds: List<KindConfiguration>,
)

/** All answers after validation, with the defaults filled in. */
public data class Answers(val fleet: FleetAnswers, val teams: List<TeamAnswers>)
