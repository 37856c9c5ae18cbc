package dev.kumquatknot.operations.settings

import dev.kumquatknot.operations.document.SourceDocument
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Path

class NodeSettingsReaderSpec {
    private fun read(text: String) = NodeSettingsReader.read(SourceDocument("node.json", text))

    @Nested
    inner class `valid settings` {
        @Test
        fun `get the default of an optional field`() {
            expectThat(read(SETTINGS).getOrNull()).isNotNull().get { workers }.isEqualTo(NodeSettings.DEFAULT_WORKERS)
        }

        @Test
        fun `name the PostgreSQL role and the variable of its password`() {
            val settings = read(
                SETTINGS.replace(
                    "\"standin\"",
                    """"postgresql", "postgresql": {"user": "kumquatknot", "passwordVariable": "DATABASE_PASSWORD"}""",
                ),
            )
            expectThat(settings.getOrNull()?.databaseAdapter)
                .isEqualTo(DatabaseAdapter.PostgreSql("kumquatknot", "DATABASE_PASSWORD"))
        }

        @Test
        fun `of the example deployment are accepted`() {
            val path = Path.of("../examples/nile-edge/nodes/entry-2.json")
            expectThat(NodeSettingsReader.read(path).getOrNull()?.dataCentre?.value).isEqualTo("luxor-a")
        }
    }

    @Nested
    inner class `invalid settings` {
        @TestFactory
        fun `give one problem`(): List<DynamicTest> =
            badSettings.map { (name, text) ->
                dynamicTest(name) { expectThat(read(text).leftOrNull()).isNotNull().hasSize(1) }
            }

        @Test
        fun `give the problems in the approved file`() {
            val messages = badSettings.entries.joinToString("\n") { (name, text) ->
                "$name\n    ${read(text).leftOrNull()?.first()}"
            }
            Approvals.verify(messages, Options().forFile().withBaseName("bad-settings"))
        }

        @Test
        fun `in a file that does not exist give one problem`() {
            expectThat(NodeSettingsReader.read(Path.of("no-such-file.json")).leftOrNull()).isNotNull().hasSize(1)
        }
    }

    private companion object {
        const val SETTINGS = """{"vm": "entry-1", "dataCentre": "mendoza-a", "callerAddress": "127.0.0.1:0",
            "operatorAddress": "127.0.0.1:8081", "nodeAddress": "127.0.0.1:0", "platformAddress": "127.0.0.1:9000",
            "databaseAdapter": "standin"}"""

        val badSettings = mapOf(
            "missing field" to SETTINGS.replace("\"vm\": \"entry-1\",", ""),
            "unknown field" to SETTINGS.replace("\"databaseAdapter\"", "\"threads\": 3, \"databaseAdapter\""),
            "unknown adapter" to SETTINGS.replace("\"standin\"", "\"oracle\""),
            "missing PostgreSQL settings" to SETTINGS.replace("\"standin\"", "\"postgresql\""),
            "PostgreSQL settings of another adapter" to
                SETTINGS.replace(
                    "\"standin\"",
                    "\"standin\", \"postgresql\": {\"user\": \"a\", \"passwordVariable\": \"B\"}",
                ),
            "shared address" to
                SETTINGS.replace("\"callerAddress\": \"127.0.0.1:0\"", "\"callerAddress\": \"127.0.0.1:8081\""),
            "platform without port" to SETTINGS.replace("127.0.0.1:9000", "127.0.0.1"),
            "a seed without port" to SETTINGS.replace("\"standin\"", "\"standin\", \"seedAddresses\": [\"10.0.0.8\"]"),
            "no workers" to SETTINGS.replace("\"standin\"", "\"standin\", \"workers\": 0"),
            "workers as text" to SETTINGS.replace("\"standin\"", "\"standin\", \"workers\": \"8\""),
            "empty file" to " ",
            "not JSON" to "vm = entry-1",
        )
    }
}
