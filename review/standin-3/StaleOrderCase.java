import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Primaries are replaced, and the machine that decides failovers is stopped and started again meanwhile, on a platform
 * that checks no fences and leaves a share of the calls unanswered. Checks that no holder sends a lower fencing token
 * than the platform has seen from another one.
 */
final class StaleOrderCase {
    private static final int GROUPS = 8;
    private static final int ROUNDS = 6;
    private static final long ROUND_MILLIS = 15_000;
    private static final long DRAIN_MILLIS = 7_000;
    private static final long STOP_DELAY_MILLIS = 300;
    private static final long GRACE_MILLIS = 6_000;
    private static final double LATE_SHARE = 0.35;
    private static final long LATE_MILLIS = 5_500;
    private static final List<String> ZONES = List.of("mendoza-a", "rosario-a", "corrientes-a");
    private static final List<String> REGIONS = List.of("mendoza-a=cuyo", "rosario-a=pampa", "corrientes-a=litoral");

    private final boolean trouble;
    private final Record record;
    private final Store store = new Store();
    private final List<Group> groups = new ArrayList<>();
    private final Map<String, Map<String, Long>> delays;
    private final Random random = new Random();
    private final Cloud cloud;
    private final Nodes nodes;
    private volatile boolean ended;

    private StaleOrderCase(boolean trouble, Path folder, Record record) throws IOException {
        this.trouble = trouble;
        this.record = record;
        Map<String, Long> eightMillis = Map.of("mendoza-a", 8_000L, "rosario-a", 8_000L, "corrientes-a", 8_000L);
        delays = Map.of("mendoza-a", eightMillis, "rosario-a", eightMillis, "corrientes-a", eightMillis);
        cloud = new Cloud(groups, 1_000, false, record);
        nodes = new Nodes(folder);
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review-3-");
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]))) {
            StaleOrderCase run = new StaleOrderCase(trouble, folder, record);
            try {
                code = run.run();
            } finally {
                run.nodes.kill();
            }
            record.show("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws IOException {
        for (int index = 0; index < GROUPS; index++) {
            Group group = new Group("inventario-" + index, 0, record);
            groups.add(group);
            for (String zone : ZONES) group.add(newMember(group, zone, 0), zone.equals(ZONES.get(index % 3)));
            group.members.forEach(Member::register);
        }
        configure();
        Threads.start("heartbeats", this::beat);
        for (String zone : ZONES) {
            nodes.add("front-" + zone, zone, REGIONS, store.address(), cloud.address(), List.of(
                "bounds.stableWindowMs=4000", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.configApplyMs=3000",
                "bounds.fencingRequired=false"));
        }
        for (Nodes.Node node : nodes.all) nodes.start(node);
        if (!nodes.awaitReady(15)) {
            record.show("the nodes don't become ready");
            return 2;
        }
        for (Group group : groups) Threads.start("client", () -> write("db-" + group.service));
        Threads.sleep(5_000);
        int rounds = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long next = record.millis() + ROUND_MILLIS;
            if (stopDuringReleases()) rounds++;
            Threads.sleep(next - record.millis());
        }
        ended = true;
        cloud.staleOrders.forEach(order -> record.show("ONE: %s", order));
        record.show("%d rounds with orders, %d stale orders", rounds, cloud.staleOrders.size());
        if (rounds < ROUNDS / 2) return 2;
        return cloud.staleOrders.isEmpty() ? 0 : 1;
    }

    /** Replaces all primaries, and stops the machine that sends the first order; returns whether one was sent. */
    private boolean stopDuringReleases() {
        AtomicReference<String> first = new AtomicReference<>();
        cloud.onOrder = holder -> first.compareAndSet(null, holder);
        if (trouble) cloud.lateShare = LATE_SHARE;
        Threads.start("answers", () -> {
            Threads.sleep(LATE_MILLIS);
            cloud.lateShare = 0;
        });
        for (Group group : groups) Threads.start("release", () -> release(group));
        for (int tries = 0; tries < 400 && first.get() == null; tries++) Threads.sleep(10);
        String holder = first.get();
        if (holder == null) return false;
        Threads.sleep(STOP_DELAY_MILLIS);
        record.line("SIGTERM to %s, which decides failovers", holder);
        for (Nodes.Node node : nodes.all) {
            if (node.name.equals(holder)) Threads.start("stop", () -> nodes.restart(node, GRACE_MILLIS));
        }
        return true;
    }

    private Member newMember(Group group, String zone, int port) throws IOException {
        String id = String.format("i-%010x", random.nextLong() & 0xffffffffffL);
        return new Member(id, zone, port, group, delays, 20, new Member.Limits(3, 21, 12, 8), store, record);
    }

    private void configure() {
        List<Object> routes = new ArrayList<>();
        List<Object> services = new ArrayList<>();
        for (Group group : groups) {
            routes.add(Map.of("name", "r-" + group.service, "database", "db-" + group.service, "type", "primary",
                "timeoutMs", 1000, "targetLatencyMs", 400, "priority", 0, "service", group.service));
            services.add(Map.of("name", group.service, "maxConnections", 21, "syncReplicas", 0));
        }
        store.put("config", "main",
            Map.of("version", 7, "routes", routes, "services", services, "limits", Map.of("txIdleMs", 3000)));
    }

    private void beat() {
        while (!ended) {
            for (Group group : groups) for (Member member : List.copyOf(group.members)) member.register();
            Threads.sleep(1_200);
        }
    }

    /** Replaces the primary: it drains, another member is promoted, and a new member takes its place and its log. */
    private void release(Group group) {
        Member leaving = group.primary();
        leaving.drain();
        Threads.sleep(DRAIN_MILLIS + 500);
        // It serves on until another member leads.
        for (int tries = 0; tries < 100 && group.primary() == leaving; tries++) Threads.sleep(50);
        leaving.stop();
        group.remove(leaving);
        for (int tries = 0; tries < 40; tries++) {
            try {
                Member next = newMember(group, leaving.zone, leaving.port());
                group.add(next, false);
                next.register();
                return;
            } catch (IOException inUse) {
                // The address is free once all connections of the former member are closed.
                Threads.sleep(50);
            }
        }
        record.line("no new member of %s", group.service);
    }

    private void write(String database) {
        Client client = null;
        for (int count = 0; !ended; count++) {
            Threads.sleep(150);
            String request = String.format("%016x", random.nextLong());
            String outcome;
            try {
                if (client == null) client = new Client(nodes.all.get(count % nodes.all.size()).front, database);
                outcome = client.query(request, "WRITE item-" + count + " " + request).end();
            } catch (IOException failure) {
                outcome = failure.toString();
                if (client != null) client.close();
                client = null;
            }
            record.line("%s: QUERY %s WRITE item-%d %s: %s", database, request, count, request, outcome);
        }
    }
}
