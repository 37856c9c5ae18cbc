package dev.kumquatknot.operations.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What applying a configuration would change, or has changed.
 *
 * @property number number of the configuration in force afterwards.
 * @property changes empty if the configuration in force already has the same content.
 */
public data class ConfigurationUpdate(val number: Long, val changes: List<ConfigurationChange>)

/** Preconditions of an update. */
public data class ApplyOptions(
    /** Number that the configuration in force must have; null for any. */
    val expectedNumber: Long? = null,
    /** Whether the operator has confirmed dangerous changes. */
    val confirmed: Boolean = false,
)

/** Why a configuration was not applied. [detail] starts with the step that failed and the peer of that step. */
public sealed interface ApplyFailure {
    /** Text for operators. */
    public val detail: String

    /** Another operator updated the configuration concurrently; nothing of this update was applied. */
    public data class Conflict(val number: Long, val otherChanges: List<ConfigurationChange>) : ApplyFailure {
        override val detail: String
            get() = "store, platform: another operator applied configuration $number first and nothing was applied; " +
                "that update made these changes: ${otherChanges.joinToString("; ") { it.text }.ifEmpty { "none" }}. " +
                "Merge its answers and apply again"
    }

    /** The number of the configuration in force is not [ApplyOptions.expectedNumber]. */
    public data class UnexpectedNumber(val expected: Long, val actual: Long) : ApplyFailure {
        override val detail: String
            get() = "check, platform: configuration $actual is in force, not $expected; nothing was applied"
    }

    /** The update contains dangerous changes and [ApplyOptions.confirmed] is not set. */
    public data class Unconfirmed(val dangerous: List<ConfigurationChange>) : ApplyFailure {
        override val detail: String
            get() = "check, local: nothing was applied, since these changes need --confirm: " +
                dangerous.joinToString("; ") { "${it.text} (${it.danger})" }
    }

    /** The configuration exceeds the size limit of the platform's object API. */
    public data class TooLarge(val bytes: Int) : ApplyFailure {
        override val detail: String
            get() = "check, local: the configuration has $bytes bytes and the limit of the platform is " +
                "${ConfigurationCodec.MAXIMUM_BYTES}; nothing was applied"
    }

    /** The stored object can't be decoded as a configuration. */
    public data class Unreadable(val reason: String) : ApplyFailure {
        override val detail: String
            get() = "read, platform: ${FleetConfiguration.STORE_KEY}: $reason; nothing was applied"
    }

    /** The platform could not be read or refused each attempt to write; nothing was applied. */
    public data class Unavailable(val reason: String) : ApplyFailure {
        override val detail: String get() = "store, platform: $reason; nothing was applied"
    }

    /** An attempt got no answer and no later one settled whether the update took effect. */
    public data class Unknown(val number: Long) : ApplyFailure {
        override val detail: String
            get() = "store, platform: no answer, so configuration $number may or may not be in force; " +
                "apply again, which changes nothing if it is"
    }
}

/**
 * Writes a configuration to the platform's object API by conditional update.
 *
 * The number grows by one with each accepted update. An update whose answer was lost is retried with the same expected
 * version; if it did take effect, the retry conflicts, and the content of the stored object shows that it did.
 *
 * @param pause waits between two attempts.
 */
public class ConfigurationApplier(
    private val store: ObjectStore,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
) {
    /** Returns what applying [desired] would change. */
    public fun preview(desired: FleetConfiguration): Either<ApplyFailure, ConfigurationUpdate> =
        readBase().map { planUpdate(it, desired) }

    /** Applies [desired]; its number is ignored. */
    public fun apply(
        desired: FleetConfiguration,
        options: ApplyOptions = ApplyOptions(),
    ): Either<ApplyFailure, ConfigurationUpdate> =
        readBase().flatMap { base ->
            val update = planUpdate(base, desired)
            validate(base, update, desired, options)?.left()
                ?: if (update.changes.isEmpty()) update.right() else write(base, update, desired)
        }

    private fun validate(
        base: Base,
        update: ConfigurationUpdate,
        desired: FleetConfiguration,
        options: ApplyOptions,
    ): ApplyFailure? {
        val expected = options.expectedNumber
        val dangerous = update.changes.filter { it.danger != null }
        val bytes = ConfigurationCodec.encode(desired).toByteArray().size
        return when {
            expected != null && expected != base.configuration.number ->
                ApplyFailure.UnexpectedNumber(expected, base.configuration.number)

            bytes > ConfigurationCodec.MAXIMUM_BYTES -> ApplyFailure.TooLarge(bytes)
            dangerous.isNotEmpty() && !options.confirmed -> ApplyFailure.Unconfirmed(dangerous)
            else -> null
        }
    }

    private fun write(
        base: Base,
        update: ConfigurationUpdate,
        desired: FleetConfiguration,
    ): Either<ApplyFailure, ConfigurationUpdate> {
        val numbered = desired.copy(number = update.number)
        var unanswered = false
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            if (attempt > 0) pause(RETRY_DELAY)
            val failure = store.write(FleetConfiguration.STORE_KEY, ConfigurationCodec.encode(numbered), base.version)
                .fold({ it }, { return update.right() })
            when (failure) {
                is StoreFailure.Conflict -> return resolve(base, numbered, update, failure.current)
                is StoreFailure.Refused -> Unit
                is StoreFailure.NoAnswer -> unanswered = true
            }
        }
        return writeFailure(update, unanswered)
    }

    private fun writeFailure(update: ConfigurationUpdate, unanswered: Boolean): Either<ApplyFailure, Nothing> =
        if (unanswered) {
            ApplyFailure.Unknown(update.number).left()
        } else {
            ApplyFailure.Unavailable("the platform refused $MAXIMUM_ATTEMPTS attempts").left()
        }

    /** Checks after a conflict whether the stored object is this update, written by an attempt without an answer. */
    private fun resolve(
        base: Base,
        numbered: FleetConfiguration,
        update: ConfigurationUpdate,
        current: StoredObject?,
    ): Either<ApplyFailure, ConfigurationUpdate> =
        decode(current).flatMap { inForce ->
            if (inForce.configuration.hasSameContentAs(numbered)) {
                update.copy(number = inForce.configuration.number).right()
            } else {
                val theirChanges = ConfigurationDifference.between(base.configuration, inForce.configuration)
                ApplyFailure.Conflict(inForce.configuration.number, theirChanges).left()
            }
        }

    private fun readBase(): Either<ApplyFailure, Base> {
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            if (attempt > 0) pause(RETRY_DELAY)
            val read = store.read(FleetConfiguration.STORE_KEY)
            if (read.isRight()) return decode(read.getOrElse { null })
        }
        return ApplyFailure.Unavailable("the platform answered none of $MAXIMUM_ATTEMPTS reads").left()
    }

    private fun decode(current: StoredObject?): Either<ApplyFailure, Base> {
        if (current == null) return Base(FleetConfiguration.EMPTY, ObjectVersion.ABSENT).right()
        return ConfigurationCodec.decode(current.value)
            .mapLeft { ApplyFailure.Unreadable(it) }
            .map { Base(it, current.version) }
    }

    private fun planUpdate(base: Base, desired: FleetConfiguration): ConfigurationUpdate {
        val before = base.configuration
        if (before.hasSameContentAs(desired)) return ConfigurationUpdate(before.number, emptyList())
        return ConfigurationUpdate(before.number + 1, ConfigurationDifference.between(before, desired))
    }

    private fun FleetConfiguration.hasSameContentAs(other: FleetConfiguration): Boolean =
        copy(number = other.number) == other

    private class Base(val configuration: FleetConfiguration, val version: ObjectVersion)

    private companion object {
        const val MAXIMUM_ATTEMPTS = 5
        val RETRY_DELAY = 500.milliseconds
    }
}
