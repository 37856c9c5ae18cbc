package dev.kumquatknot.app.command

import java.nio.file.Path
import java.util.jar.JarFile

/**
 * Loads the classes that a node needs to serve requests, so that the class-data sharing archive includes them.
 * Otherwise a freshly started node loads them from the JAR file while its first callers wait.
 */
internal object ClassPreloader {
    private val classPathPrefixes = listOf(
        "dev/kumquatknot/core/",
        "dev/kumquatknot/platform/",
        "dev/kumquatknot/proxy/interactive/",
        "dev/kumquatknot/proxy/event/",
        "dev/kumquatknot/proxy/http/",
        "kotlinx/serialization/json/",
        "kotlinx/serialization/internal/",
        "kotlinx/serialization/encoding/",
        "kotlinx/serialization/descriptors/",
        "kotlin/time/",
        "kotlin/collections/",
        "kotlin/sequences/",
        "io/netty/buffer/",
        "io/netty/channel/",
        "io/netty/util/",
        "io/netty/handler/codec/string/",
        "io/netty/handler/codec/Line",
        "io/netty/handler/codec/http/Http",
        "io/prometheus/metrics/core/",
        "net/logstash/logback/",
        "tools/jackson/core/",
        "com/fasterxml/jackson/core/",
    )

    /** Loads the matching classes of the program's own JAR file and returns the number of those that loaded. */
    fun load(): Int {
        val location = ClassPreloader::class.java.protectionDomain.codeSource.location
        return JarFile(Path.of(location.toURI()).toFile()).use { jar ->
            jar.entries().asSequence()
                .map { it.name }
                .filter { name -> name.endsWith(".class") && classPathPrefixes.any { name.startsWith(it) } }
                .count { loadClass(it.removeSuffix(".class").replace('/', '.')) }
        }
    }

    /** Returns false where a class cannot be loaded: optional parts of libraries refer to classes that are missing. */
    private fun loadClass(name: String): Boolean = try {
        Class.forName(name, false, ClassPreloader::class.java.classLoader)
        true
    } catch (_: ClassNotFoundException) {
        false
    } catch (_: LinkageError) {
        false
    }
}
