package dev.kumquatknot.operations.questionnaire

import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.operations.configuration.ConfigurationCodec
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Path

class ConfigurationGeneratorSpec {
    private fun generate(example: String): FleetConfiguration =
        ConfigurationGenerator.generate(
            AnswerFolder(Path.of("../examples/$example")).read().getOrElse { error(it.joinToString("\n")) },
        )

    private fun verifyApproved(example: String) {
        Approvals.verify(
            ConfigurationCodec.encodeReadable(generate(example)),
            Options().forFile().withBaseName(example).forFile().withExtension(".json"),
        )
    }

    @Nested
    inner class `the example of Pesebre Unido` {
        @Test
        fun `gives the configuration in the approved file`() {
            verifyApproved("pesebre-unido")
        }

        @Test
        fun `is unchanged after encoding and decoding`() {
            val configuration = generate("pesebre-unido")
            expectThat(ConfigurationCodec.decode(ConfigurationCodec.encode(configuration)).getOrNull())
                .isNotNull().isEqualTo(configuration)
        }
    }

    @Nested
    inner class `the example of Nile Edge` {
        @Test
        fun `gives the configuration in the approved file`() {
            verifyApproved("nile-edge")
        }
    }

    @Nested
    inner class `answers in another order` {
        @Test
        fun `give the same bytes`() {
            val answers = checkNotNull(AnswerFolder(Path.of("../examples/pesebre-unido")).read().getOrNull())
            val shuffled = Answers(
                FleetAnswers(answers.fleet.dataCentres.reversed(), answers.fleet.databases.reversed()),
                answers.teams.reversed().map {
                    it.copy(kinds = it.kinds.reversed(), databases = it.databases.reversed())
                },
            )
            expectThat(ConfigurationCodec.encode(ConfigurationGenerator.generate(shuffled)))
                .isEqualTo(ConfigurationCodec.encode(ConfigurationGenerator.generate(answers)))
        }
    }
}
