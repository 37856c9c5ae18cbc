package dev.kumquatknot.proxy.caller

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.TeamConfiguration
import java.security.MessageDigest
import java.util.HexFormat

/** Looks up teams by the SHA-256 of their key, in a time that does not depend on the key. */
internal object TeamKeys {
    /** Returns the team whose key is [key], or null if there is none. */
    fun teamOf(key: String, configuration: FleetConfiguration): TeamConfiguration? {
        val hash = hashOf(key).toByteArray()
        return configuration.teams.fold(null as TeamConfiguration?) { found, team ->
            if (MessageDigest.isEqual(hash, team.keyHash.toByteArray())) team else found
        }
    }

    /** Returns the SHA-256 of [key] in lower-case hexadecimal digits. */
    fun hashOf(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
}
