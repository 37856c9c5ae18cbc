package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.operations.document.SourceDocument
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.map

class QuestionnaireSpec {
    private val questionnaire = Questionnaire()

    private fun check(fleet: String = FLEET, vararg teams: String) =
        questionnaire.check(
            SourceDocument("fleet.json", fleet),
            teams.mapIndexed { index, text -> SourceDocument("teams/team-$index.json", text) },
        )

    private fun problems(fleet: String, vararg teams: String): List<Problem> =
        check(fleet, *teams).fold({ it.all }, { emptyList() })

    @Nested
    inner class `complete answers` {
        private val answers = checkNotNull(check(FLEET, TEAM).getOrNull())

        @Test
        fun `become typed answers`() {
            expectThat(answers.teams.single().kinds).map { it.name.value }.containsExactly("book-costume", "browse")
            expectThat(answers.fleet.databases.single().members).hasSize(3)
        }

        @Test
        fun `get the documented defaults where an optional answer is left out`() {
            val browse = answers.teams.single().kinds[1]
            expectThat(browse.repetition).isEqualTo(Repetition.IDEMPOTENT)
            expectThat(browse.targetMillis).isEqualTo(5_000)
            expectThat(browse.floorPercent).isEqualTo(2)
            expectThat(browse.maximumAgeMillis).isNull()
            expectThat(answers.fleet.databases.single().members.first().slots).isEqualTo(3)
        }

        @Test
        fun `make a write run at most once unless they say that it may be repeated`() {
            expectThat(answers.teams.single().kinds[0].repetition).isEqualTo(Repetition.AT_MOST_ONCE)
        }
    }

    @Nested
    inner class `one invalid answer` {
        @TestFactory
        fun `gives one problem with file, field, value and remedy`(): List<DynamicTest> =
            badAnswers.map { case ->
                dynamicTest(case.name) {
                    val found = problems(case.fleet, *case.teams.toTypedArray())
                    expectThat(found).hasSize(1)
                    expectThat(found.single().file).isEqualTo(case.file)
                    expectThat(found.single().field).isEqualTo(case.field)
                }
            }

        @Test
        fun `gives the problems in the approved file`() {
            val text = badAnswers.joinToString("\n") { case ->
                "${case.name}\n    " + problems(case.fleet, *case.teams.toTypedArray()).joinToString("\n    ")
            }
            Approvals.verify(text, Options().forFile().withBaseName("bad-answers"))
        }
    }

    @Nested
    inner class `several invalid answers` {
        @Test
        fun `are all reported at once`() {
            val bad = TEAM.replace(
                "\"urgent\"",
                "\"urgnt\"",
            ).replace("\"300 ms\"", "\"300\"").replace("callers", "caller")
            expectThat(problems(FLEET, bad)).map { it.field }
                .containsExactly("$.callers", "$.kinds[0].rank", "$.kinds[0].target", "$.caller")
        }

        @Test
        fun `suggest the closest known field`() {
            val problem = problems(FLEET, TEAM.replace("\"target\"", "\"Targt\"")).single()
            expectThat(problem.remedy).isEqualTo("write \"target\"")
        }
    }

    @Nested
    inner class `bytes that are not UTF-8` {
        @Test
        fun `give one problem`() {
            val document = SourceDocument("teams/a.json", byteArrayOf(0x7b, 0xff.toByte(), 0x7d))
            val found = questionnaire.check(SourceDocument("fleet.json", FLEET), listOf(document)).leftOrNull()
            expectThat(found).isNotNull().hasSize(1)
            expectThat(found?.first()?.fault).isEqualTo("the file is not UTF-8 text")
        }
    }

    private class BadAnswer(
        val name: String,
        val file: String,
        val field: String,
        val fleet: String = FLEET,
        val teams: List<String> = listOf(TEAM),
    )

    private companion object {
        const val KEY_HASH = "ea2dc1225342ae4e5284343931a3f14e55e3165ec043dd724d80b87d02e63a16"
        const val FLEET = """{
            "dataCentres": [{"name": "mendoza-a", "region": "cuyo"}, {"name": "rosario-a", "region": "pampa"}],
            "databases": [{"name": "inventory-1", "members": [
                {"name": "inventory-1-a", "dataCentre": "mendoza-a", "address": "10.1.0.1:5432"},
                {"name": "inventory-1-b", "dataCentre": "rosario-a", "address": "10.1.0.2:5432"},
                {"name": "inventory-1-c", "dataCentre": "rosario-a", "address": "10.1.0.3:5432"}]}]}"""
        const val TEAM = """{
            "name": "counter", "callers": "Counter staff", "keyHash": "$KEY_HASH", "databases": ["inventory-1"],
            "kinds": [
                {"name": "book-costume", "rank": "urgent", "access": "write", "purpose": "booking",
                    "target": "300 ms", "deadline": "5 s", "share": "10 %"},
                {"name": "browse", "rank": "background", "access": "read"}]}"""
        const val TEAM_FILE = "teams/team-0.json"

        fun team(name: String, field: String, from: String, to: String): BadAnswer {
            check(from in TEAM) { from }
            return BadAnswer(name, TEAM_FILE, field, teams = listOf(TEAM.replaceFirst(from, to)))
        }

        fun fleet(name: String, field: String, from: String, to: String): BadAnswer {
            check(from in FLEET) { from }
            return BadAnswer(name, "fleet.json", field, fleet = FLEET.replaceFirst(from, to))
        }

        val badAnswers = listOf(
            team("missing field", "$.callers", "\"callers\": \"Counter staff\",", ""),
            team("null field", "$.callers", "\"Counter staff\"", "null"),
            team("unknown field", "$.kinds[1].pool", "\"name\": \"browse\"", "\"pool\": 7, \"name\": \"browse\""),
            team("wrong unit", "$.kinds[0].target", "300 ms", "300 minutes"),
            team("missing unit", "$.kinds[0].deadline", "5 s", "5"),
            team("number for a duration", "$.kinds[0].target", "\"300 ms\"", "300"),
            team("zero duration", "$.kinds[0].target", "300 ms", "0 ms"),
            team("unknown rank", "$.kinds[0].rank", "\"urgent\"", "\"very urgent\""),
            team("unknown access", "$.kinds[0].access", "\"write\"", "\"delete\""),
            team("unknown purpose", "$.kinds[0].purpose", "\"booking\"", "\"bookings\""),
            team(
                "text for a truth value",
                "$.kinds[1].mayBeRepeated",
                "\"access\": \"read\"",
                "\"access\": \"read\", \"mayBeRepeated\": \"yes\"",
            ),
            team("target above deadline", "$.kinds[0].target", "300 ms", "6 s"),
            team("stale write", "$.kinds[0].age", "\"share\"", "\"age\": \"30 s\", \"share\""),
            team(
                "repeatable payment",
                "$.kinds[0].mayBeRepeated",
                "\"booking\"",
                "\"payment\", \"mayBeRepeated\": true",
            ),
            team("share above 100 %", "$.kinds[0].share", "10 %", "101 %"),
            team("shares that add up to more than 100 %", "$.kinds", "10 %", "99 %"),
            team("duplicate kind", "$.kinds[1].name", "\"browse\"", "\"book-costume\""),
            team("malformed name", "$.name", "\"counter\"", "\"Counter Staff\""),
            team("unknown database", "$.databases", "[\"inventory-1\"]", "[\"inventory-9\"]"),
            team("no kinds", "$.kinds", TEAM.substringAfter("\"kinds\": "), "[]}"),
            team("malformed key hash", "$.keyHash", KEY_HASH, "secret"),
            BadAnswer(
                "duplicate team",
                "teams/team-1.json",
                "$.name",
                teams = listOf(TEAM, TEAM.replace("ea2d", "0000")),
            ),
            BadAnswer(
                "key of another team",
                "teams/team-1.json",
                "$.keyHash",
                teams = listOf(TEAM, TEAM.replace("counter", "parishes")),
            ),
            BadAnswer("empty file", TEAM_FILE, "$", teams = listOf("")),
            BadAnswer("not JSON", TEAM_FILE, "$", teams = listOf("{\"name\": counter staff")),
            BadAnswer("not an object", TEAM_FILE, "$", teams = listOf("[]")),
            fleet("two members", "$.databases[0].members", TWO_OF_THREE, ""),
            fleet(
                "unknown data centre",
                "$.databases[0].members[0].dataCentre",
                "\"dataCentre\": \"mendoza-a\"",
                "\"dataCentre\": \"salta-a\"",
            ),
            fleet(
                "host name for an IP number",
                "$.databases[0].members[0].address",
                "10.1.0.1:5432",
                "db.example:5432",
            ),
            fleet("port out of range", "$.databases[0].members[0].address", "10.1.0.1:5432", "10.1.0.1:70000"),
            fleet("duplicate address", "$.databases[0].members[1].address", "10.1.0.2:5432", "10.1.0.1:5432"),
            fleet("duplicate member", "$.databases[0].members[1].name", "inventory-1-b", "inventory-1-a"),
            fleet(
                "connections below slots",
                "$.databases[0].members[0].connections",
                "\"10.1.0.1:5432\"",
                "\"10.1.0.1:5432\", \"connections\": 3",
            ),
            fleet(
                "fraction of a slot",
                "$.databases[0].slots",
                "\"name\": \"inventory-1\"",
                "\"slots\": 1.5, \"name\": \"inventory-1\"",
            ),
        )

        private const val TWO_OF_THREE = """,
                {"name": "inventory-1-c", "dataCentre": "rosario-a", "address": "10.1.0.3:5432"}"""
    }
}
