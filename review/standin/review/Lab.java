package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback: the platform's store, one service of three members, and processes of the project. */
final class Lab implements AutoCloseable {
    static final String ZONE = "cairo-a";
    static final String OTHER_ZONE = "luxor-a";

    /** The region of each zone. */
    static final Map<String, String> ZONES = Map.of(ZONE, "cairo", OTHER_ZONE, "luxor");

    /** A case: returns whether the rule held, and throws an exception if the case could not run. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    private static final long LONGEST_RUN_MS = 110_000;

    final Record record;
    final Store store;
    final Group group;
    final Path folder;
    private final List<Group> groups = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private long version = 7;

    private Lab(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review");
        store = new Store(record);
        group = addGroup("huvo11a", "i-000000", ZONE);
        store.promote = (service, id) ->
            groups.stream().anyMatch(known -> known.service.equals(service) && known.promote(id));
    }

    /** Starts a service of three members in [zone], whose ids begin with [prefix]; to be called before [configure]. */
    Group addGroup(String service, String prefix, String zone) throws IOException {
        Group added = new Group(service, record);
        for (int i = 1; i <= 3; i++) new Member(prefix + i, added, store, zone);
        added.members.forEach(Member::start);
        groups.add(added);
        return added;
    }

    /**
     * Runs a case in the folder of the first argument, without its disruption if the second one is 0, and ends this
     * program with 0, 1 or 2.
     */
    static void main(String[] arguments, Case test) {
        int exit = 2;
        try {
            boolean trouble = arguments.length < 2 || !arguments[1].equals("0");
            Record record = new Record(Path.of(arguments[0], "record.txt"));
            record.log("trouble " + trouble);
            endAfter(LONGEST_RUN_MS, record);
            try (Lab lab = new Lab(record)) {
                exit = test.run(lab, trouble) ? 0 : 1;
            }
            record.verdict(exit == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable failure) {
            exit = 2;
            System.out.println("the case could not run");
            failure.printStackTrace();
        }
        System.exit(exit);
    }

    private static void endAfter(long millis, Record record) {
        Thread watchdog = new Thread(() -> {
            Group.sleep(millis);
            record.verdict("the case took too long");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    static Map<String, Object> route(
        String database, String service, String type, int timeoutMs, int targetMs, int priority) {
        return Json.of("name", "r-" + database, "database", database, "pathPrefix", "/", "type", type,
            "timeoutMs", timeoutMs, "targetLatencyMs", targetMs, "priority", priority, "service", service,
            "maxAttempts", 2, "maxStalenessMs", 1500);
    }

    /** Writes the next configuration; [more] are further fields of it. */
    void configure(List<Map<String, Object>> routes, Object... more) {
        Map<String, Object> configuration = Json.of("version", version++, "routes", routes,
            "services", groups.stream().map(known -> Json.of("name", known.service, "healthPath", "/health",
                "maxConnections", 41, "protocol", "h1", "tls", false, "syncReplicas", 0)).toList(),
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15000, "txIdleMs", 3000));
        configuration.putAll(Json.of(more));
        store.put("config", "main", configuration);
        record.log("operator  configuration " + (version - 1) + " acknowledged");
    }

    Node node(String name, String... settings) throws IOException {
        return nodeIn(ZONE, name, settings);
    }

    Node nodeIn(String zone, String name, String... settings) throws IOException {
        Node node = new Node(name, zone, store, folder, record, settings);
        nodes.add(node);
        return node;
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            try {
                if (node.isRunning()) node.kill();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        store.stop();
        if (System.getenv("KEEP") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }
}
