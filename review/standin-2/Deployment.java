import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment in three regions: the platform, database groups, and processes of the system. */
final class Deployment {
    /** A case; returns whether the rule held. */
    interface Body {
        boolean run(Deployment deployment, boolean trouble) throws IOException, InterruptedException;
    }

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    final Map<String, String> zones = new LinkedHashMap<>();
    final Record record;
    final Platform platform;
    final List<Vm> vms = new ArrayList<>();

    /** Zones in which a process runs, one for each entry. */
    List<String> places = List.of("mendoza-a", "rosario-a", "corrientes-a");
    private final java.nio.file.Path root;
    private final java.nio.file.Path temporary;

    /** For each process its own paths to the members, by their ids; empty where it reaches them directly. */
    final List<Map<String, Path>> paths = new ArrayList<>();

    /** Whether each process reaches the members over paths of its own. */
    boolean hasPaths;

    private Deployment(Record record, java.nio.file.Path root, java.nio.file.Path temporary) throws IOException {
        this.record = record;
        this.root = root;
        this.temporary = temporary;
        zones.put("mendoza-a", "cuyo");
        zones.put("rosario-a", "pampa");
        zones.put("corrientes-a", "litoral");
        platform = new Platform(record, 1_000);
    }

    /** Runs [body] with the folder of the case and the root of the repository as [arguments]; ends the JVM. */
    static void play(String[] arguments, Body body) {
        int status = COULD_NOT_RUN;
        try {
            status = playOnce(arguments, body);
        } catch (IOException failure) {
            System.out.println("the case could not run: " + failure);
        }
        System.exit(status);
    }

    private static int playOnce(String[] arguments, Body body) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        java.nio.file.Path temporary = Files.createTempDirectory("kumquatknot-review");
        try (Record record = new Record(java.nio.file.Path.of(arguments[0], "record.txt"))) {
            java.nio.file.Path root = java.nio.file.Path.of(arguments[1]).toAbsolutePath();
            Deployment deployment = new Deployment(record, root, temporary);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> deployment.vms.forEach(Vm::end)));
            int status = COULD_NOT_RUN;
            try {
                status = body.run(deployment, trouble) ? HELD : BROKEN;
            } catch (IOException | RuntimeException | InterruptedException failure) {
                record.result("the case could not run: " + failure);
            } finally {
                deployment.vms.forEach(Vm::end);
            }
            record.result("exit status " + status);
            return status;
        } finally {
            if (System.getenv("KEEP") == null) delete(temporary);
            else System.out.println("logs of the processes: " + temporary);
        }
    }

    private static void delete(java.nio.file.Path folder) throws IOException {
        try (Stream<java.nio.file.Path> files = Files.walk(folder)) {
            for (java.nio.file.Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }

    /** Adds a group with a member in each zone, the first one its primary. */
    Group group(String service, int syncReplicas) throws IOException {
        Group group = new Group(service, List.copyOf(zones.keySet()), 3, 24, 60, syncReplicas, 12, 20, record);
        platform.add(group);
        return group;
    }

    /** A process that is not started yet. */
    Vm vm(String zone, Group... groups) throws IOException {
        Map<String, Path> own = new LinkedHashMap<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (Group group : groups) {
            for (Group.Member member : group.members) {
                Path path = new Path(member.address());
                own.put(member.id, path);
                addresses.put(member.address(), path.address());
            }
        }
        paths.add(own);
        int store = own.isEmpty() ? platform.storePort() : platform.openView(addresses);
        Vm vm = new Vm(root, temporary, "front-" + zone + "-" + (vms.size() + 1), zone, zones, platform, store, List.of());
        vms.add(vm);
        return vm;
    }

    /** Starts the platform with a configuration of the routes of [groups], and the processes. */
    void start(Group... groups) throws IOException, InterruptedException {
        platform.start();
        platform.put("config", "main", configuration(7, groups));
        platform.startHeartbeats(1_200);
        for (String zone : places) vm(zone, hasPaths ? groups : new Group[0]).start();
        for (Vm vm : vms) vm.awaitReady(20_000);
        Thread.sleep(2_000);
    }

    /** The same, with the first process started earlier, so that it decides failovers. */
    void startFirst(Group... groups) throws IOException, InterruptedException {
        platform.start();
        platform.put("config", "main", configuration(7, groups));
        platform.startHeartbeats(1_200);
        for (String zone : places) {
            Vm vm = vm(zone, hasPaths ? groups : new Group[0]);
            vm.start();
            vm.awaitReady(20_000);
            if (vms.size() == 1) Thread.sleep(1_500);
        }
        Thread.sleep(2_000);
    }

    /** Routes "reserva" (primary), "catalogo" (bounded staleness) and "deposito" (read your writes) of each group. */
    static String configuration(long version, Group... groups) {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 0; i < groups.length; i++) {
            String suffix = i == 0 ? "" : Integer.toString(i);
            Group group = groups[i];
            if (i > 0) {
                routes.append(',');
                services.append(',');
            }
            routes.append(route(group, "reserva" + suffix, "primary", 1_000, 400, 0, 0)).append(',')
                    .append(route(group, "catalogo" + suffix, "bounded_staleness", 2_000, 800, 1, 1_500)).append(',')
                    .append(route(group, "deposito" + suffix, "read_your_writes", 1_000, 1_500, 2, 2_500));
            services.append("{\"name\":\"").append(group.service).append("\",\"healthPath\":\"/health\","
                    + "\"maxConnections\":").append(group.maxConnections).append(",\"protocol\":\"h1\",\"tls\":false,"
                    + "\"syncReplicas\":").append(group.syncReplicas).append('}');
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"txIdleMs\":3000}}";
    }

    private static String route(Group group, String database, String type, int timeout, int target, int priority,
            int staleness) {
        return String.format("{\"name\":\"r-%s\",\"database\":\"%s\",\"pathPrefix\":\"/\",\"type\":\"%s\","
                + "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"priority\":%d,\"service\":\"%s\",\"maxAttempts\":2,"
                + "\"maxStalenessMs\":%d}", database, database, type, timeout, target, priority, group.service, staleness);
    }
}
