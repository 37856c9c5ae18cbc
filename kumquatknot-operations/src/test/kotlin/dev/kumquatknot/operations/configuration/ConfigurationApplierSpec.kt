package dev.kumquatknot.operations.configuration

import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.operations.questionnaire.AnswerFolder
import dev.kumquatknot.operations.questionnaire.ConfigurationGenerator
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.map
import java.nio.file.Path

class ConfigurationApplierSpec {
    private val store = FaultInjectingStore()
    private val applier = ConfigurationApplier(store, pause = {})
    private val answers = checkNotNull(AnswerFolder(Path.of("../examples/pesebre-unido")).read().getOrNull())
    private val first = ConfigurationGenerator.generate(answers)
    private val second = first.withTarget(250)

    private fun FleetConfiguration.withTarget(millis: Long): FleetConfiguration =
        copy(teams = teams.map { team -> team.copy(kinds = team.kinds.map { it.copy(targetMillis = millis) }) })

    private fun stored(): FleetConfiguration? =
        store.objects[FleetConfiguration.STORE_KEY]?.let { found ->
            ConfigurationCodec.decode(found.value).getOrElse { error(it) }
        }

    @Nested
    inner class `an accepted configuration` {
        @Test
        fun `gets the next number`() {
            applier.apply(first)
            val update = applier.apply(second).getOrNull()
            expectThat(update).isNotNull().get { number }.isEqualTo(2)
            expectThat(stored()).isEqualTo(second.copy(number = 2))
        }

        @Test
        fun `gets no new number when the content is the same`() {
            applier.apply(first)
            expectThat(applier.apply(first).getOrNull()).isEqualTo(ConfigurationUpdate(1, emptyList()))
            expectThat(store.objects.getValue(FleetConfiguration.STORE_KEY).version).isEqualTo(ObjectVersion(1))
        }
    }

    @Nested
    inner class `a preview` {
        @Test
        fun `lists each change and applies none`() {
            applier.apply(first)
            val preview = checkNotNull(applier.preview(second).getOrNull())
            expectThat(preview.changes).map { it.text }
                .contains("change team counter, kind book-costume: target from 300 ms to 250 ms")
            expectThat(stored()?.number).isEqualTo(1)
        }
    }

    @Nested
    inner class `a lost answer to a write` {
        @Test
        fun `that took effect is reported as applied`() {
            store.faults += WriteFault.LOST_AFTER
            expectThat(applier.apply(first).getOrNull()?.number).isEqualTo(1)
            expectThat(stored()?.number).isEqualTo(1)
        }

        @Test
        fun `that did not take effect is followed by another attempt`() {
            store.faults += listOf(WriteFault.LOST_BEFORE, WriteFault.REFUSED)
            expectThat(applier.apply(first).getOrNull()?.number).isEqualTo(1)
            expectThat(stored()?.number).isEqualTo(1)
        }

        @Test
        fun `in every attempt leaves the outcome unknown`() {
            repeat(5) { store.faults += WriteFault.LOST_BEFORE }
            expectThat(applier.apply(first).leftOrNull()).isEqualTo(ApplyFailure.Unknown(1))
        }
    }

    @Nested
    inner class `an unavailable store` {
        @Test
        fun `fails the update without a write`() {
            store.readsFail = true
            expectThat(applier.apply(first).leftOrNull()).isNotNull().isA<ApplyFailure.Unavailable>()
            expectThat(store.objects).isEmpty()
        }

        @Test
        fun `that refuses every write fails the update`() {
            repeat(5) { store.faults += WriteFault.REFUSED }
            expectThat(applier.apply(first).leftOrNull()).isNotNull().isA<ApplyFailure.Unavailable>()
            expectThat(stored()).isNull()
        }
    }

    @Nested
    inner class `a concurrent update` {
        @Test
        fun `fails with a conflict that lists the changes of the other update`() {
            applier.apply(first)
            store.beforeWrite = { ConfigurationApplier(store, pause = {}).apply(second) }
            val failure = applier.apply(first.withTarget(200)).leftOrNull()
            expectThat(failure).isNotNull().isA<ApplyFailure.Conflict>().get { detail }
                .contains("change team counter, kind book-costume: target from 300 ms to 250 ms")
            expectThat(stored()).isEqualTo(second.copy(number = 2))
        }

        @Test
        fun `with the same content is no conflict`() {
            applier.apply(first)
            store.beforeWrite = { ConfigurationApplier(store, pause = {}).apply(second) }
            expectThat(applier.apply(second).getOrNull()?.number).isEqualTo(2)
        }

        @Test
        fun `is refused when the number in force is not the expected one`() {
            applier.apply(first)
            val failure = applier.apply(second, ApplyOptions(expectedNumber = 7)).leftOrNull()
            expectThat(failure).isEqualTo(ApplyFailure.UnexpectedNumber(7, 1))
        }
    }

    @Nested
    inner class `a dangerous change` {
        private val withoutCounter = first.copy(teams = first.teams.filter { it.name != TeamName("counter") })

        @Test
        fun `is refused without a confirmation`() {
            applier.apply(first)
            val failure = applier.apply(withoutCounter).leftOrNull()
            expectThat(failure).isNotNull().isA<ApplyFailure.Unconfirmed>().get { dangerous }.map { it.text }
                .contains("remove team counter")
            expectThat(stored()).isEqualTo(first.copy(number = 1))
        }

        @Test
        fun `is applied with a confirmation`() {
            applier.apply(first)
            expectThat(applier.apply(withoutCounter, ApplyOptions(confirmed = true)).getOrNull()?.number).isEqualTo(2)
        }
    }

    @Nested
    inner class `a stored object that is no configuration` {
        @Test
        fun `is never overwritten`() {
            val unreadableObject = StoredObject(FleetConfiguration.STORE_KEY, ObjectVersion(4), "hello")
            store.objects[FleetConfiguration.STORE_KEY] = unreadableObject
            expectThat(applier.apply(first).leftOrNull()).isNotNull().isA<ApplyFailure.Unreadable>()
            expectThat(store.objects[FleetConfiguration.STORE_KEY]).isEqualTo(unreadableObject)
        }
    }
}
