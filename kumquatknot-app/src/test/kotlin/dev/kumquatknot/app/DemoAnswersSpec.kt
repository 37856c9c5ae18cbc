package dev.kumquatknot.app

import dev.kumquatknot.app.demo.DemoAnswers
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize

class DemoAnswersSpec {
    @Nested
    inner class `the example answers in the resources` {
        @Test
        fun `are complete and valid`() {
            DemoAnswers.teamFilesByExample.keys.forEach { example ->
                expectThat(DemoAnswers.read(example).teams).hasSize(3)
            }
        }
    }
}
