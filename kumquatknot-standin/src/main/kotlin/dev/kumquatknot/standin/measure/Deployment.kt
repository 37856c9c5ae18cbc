package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One kind of work of the load.
 *
 * @property rate requests per second and database at ordinary load.
 * @property serviceTime mean time for which a statement holds a slot.
 * @property maximumAge age of data that the reader accepts; null for a read of the session's own writes.
 */
internal data class LoadKind(
    val team: TeamName,
    val name: KindName,
    val rank: Rank,
    val access: Access,
    val rate: Double,
    val target: Duration,
    val deadline: Duration,
    val floorPercent: Int,
    val maximumAge: Duration? = null,
    val serviceTime: Duration = 5.milliseconds,
)

/**
 * Sizes and latencies of a deployment.
 *
 * @property regionLatency one-way latency between two of the data centres; each is a region of its own.
 * @property callerLatency one-way latency between a caller and its entry VM.
 * @property flooder kind that floods when the least urgent work does.
 * @property urgentFlooder kind that floods when the most urgent work does.
 */
internal data class Deployment(
    val name: String,
    val databases: Int,
    val dataCentres: List<String>,
    val slots: Int,
    val connections: Int,
    val regionLatency: Duration,
    val callerLatency: Duration,
    val connectTime: Duration,
    val proxies: Int,
    val kinds: List<LoadKind>,
    val flooder: KindName,
    val urgentFlooder: KindName,
) {
    val members: Int get() = dataCentres.size

    /** Statements per second that one member can take, at the usual service time. */
    val memberCapacity: Double get() = slots * (1.seconds / USUAL_SERVICE_TIME)

    fun latency(from: Int, to: Int): Duration = if (from == to) LOCAL_LATENCY else regionLatency

    fun kind(name: KindName): LoadKind = kinds.first { it.name == name }

    internal companion object {
        val USUAL_SERVICE_TIME = 5.milliseconds
        private val LOCAL_LATENCY = 100.microseconds

        val PESEBRE_UNIDO = Deployment(
            name = "Pesebre Unido",
            databases = 3,
            dataCentres = listOf("mendoza-a", "rosario-a", "corrientes-a"),
            slots = 3,
            connections = 20,
            regionLatency = 8.milliseconds,
            callerLatency = 3.milliseconds,
            connectTime = 10.milliseconds,
            proxies = 8,
            kinds = pesebreUnidoKinds(),
            flooder = KindName("mark-item"),
            urgentFlooder = KindName("book-costume"),
        )

        val NILE_EDGE = Deployment(
            name = "Nile Edge",
            databases = 3,
            dataCentres = listOf("cairo-a", "luxor-a", "alex-a"),
            slots = 3,
            connections = 40,
            regionLatency = 20.milliseconds,
            callerLatency = 3.milliseconds,
            connectTime = 30.milliseconds,
            proxies = 8,
            kinds = nileEdgeKinds(),
            flooder = KindName("export-loans"),
            urgentFlooder = KindName("enrol"),
        )
    }
}

private fun pesebreUnidoKinds(): List<LoadKind> {
    val counter = TeamName("counter")
    val parishes = TeamName("parishes")
    val warehouse = TeamName("warehouse")
    return listOf(
        urgent(counter, "book-costume", Access.WRITE, rate = 60.0, target = 250.milliseconds, floorPercent = 20),
        urgent(counter, "charge-deposit", Access.WRITE, rate = 30.0, target = 400.milliseconds, floorPercent = 10),
        urgent(counter, "view-booking", Access.READ, rate = 60.0, target = 200.milliseconds, floorPercent = 10),
        standard(counter, "take-return", Access.WRITE, rate = 40.0, maximumAge = null),
        standard(parishes, "browse-catalogue", Access.READ, rate = 140.0, maximumAge = 5.seconds),
        background(warehouse, "mark-item", Access.WRITE, rate = 40.0, maximumAge = null),
        background(warehouse, "report-stock", Access.READ, rate = 20.0, maximumAge = 60.seconds),
    )
}

private fun nileEdgeKinds(): List<LoadKind> {
    val learners = TeamName("learners")
    val instructors = TeamName("instructors")
    val tools = TeamName("tools")
    return listOf(
        urgent(learners, "enrol", Access.WRITE, rate = 60.0, target = 250.milliseconds, floorPercent = 20),
        urgent(learners, "pay-seat", Access.WRITE, rate = 30.0, target = 400.milliseconds, floorPercent = 10),
        urgent(learners, "view-seat", Access.READ, rate = 60.0, target = 200.milliseconds, floorPercent = 10),
        standard(instructors, "view-roster", Access.READ, rate = 140.0, maximumAge = 1.seconds),
        standard(tools, "return-tool", Access.WRITE, rate = 40.0, maximumAge = null),
        background(tools, "export-loans", Access.WRITE, rate = 20.0, maximumAge = null),
        background(learners, "list-courses", Access.READ, rate = 40.0, maximumAge = 30.seconds),
    )
}

private fun urgent(
    team: TeamName,
    name: String,
    access: Access,
    rate: Double,
    target: Duration,
    floorPercent: Int,
) = LoadKind(team, KindName(name), Rank.URGENT, access, rate, target, 2.seconds, floorPercent)

private fun standard(team: TeamName, name: String, access: Access, rate: Double, maximumAge: Duration?) =
    LoadKind(team, KindName(name), Rank.STANDARD, access, rate, 500.milliseconds, 3.seconds, STANDARD_FLOOR, maximumAge)

private fun background(team: TeamName, name: String, access: Access, rate: Double, maximumAge: Duration?) =
    LoadKind(team, KindName(name), Rank.BACKGROUND, access, rate, 2.seconds, 5.seconds, BACKGROUND_FLOOR, maximumAge)

private const val STANDARD_FLOOR = 10
private const val BACKGROUND_FLOOR = 5
