import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Primaries of services with one synchronous replica are replaced one after the other, while clients write. Checks that
 * each acknowledged commit is in the log of the member that is promoted.
 */
final class PromotionCase {
    private static final int GROUPS = 12;
    private static final int SESSIONS = 12;
    private static final int ROUNDS = 7;
    private static final long ROUND_MILLIS = 13_000;
    private static final long DRAIN_MILLIS = 10_000;
    private static final double PAUSE_MILLIS = 330;
    private static final List<String> ZONES = List.of("corrientes-a", "parana-a", "rosario-a");
    private static final List<String> REGIONS =
        List.of("corrientes-a=litoral", "parana-a=litoral", "rosario-a=pampa");

    /** One way, in microseconds: 0.5 ms between the zones of a region, 8 ms between regions. */
    private static final Map<String, Map<String, Long>> DELAYS = Map.of(
        "corrientes-a", Map.of("corrientes-a", 100L, "parana-a", 500L, "rosario-a", 8_000L),
        "parana-a", Map.of("corrientes-a", 500L, "parana-a", 100L, "rosario-a", 8_000L),
        "rosario-a", Map.of("corrientes-a", 8_000L, "parana-a", 8_000L, "rosario-a", 100L));

    private final boolean trouble;
    private final Record record;
    private final Store store = new Store();
    private final List<Group> groups = new ArrayList<>();
    private final Map<String, String> acknowledged = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final Random random = new Random();
    private final Cloud cloud;
    private final Nodes nodes;
    private volatile boolean ended;

    private PromotionCase(boolean trouble, Path folder, Record record) throws IOException {
        this.trouble = trouble;
        this.record = record;
        cloud = new Cloud(groups, 1_000, true, record);
        nodes = new Nodes(folder);
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review-3-");
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]))) {
            PromotionCase run = new PromotionCase(trouble, folder, record);
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
        for (int index = 0; index < GROUPS; index++) addGroup(index);
        configure();
        Threads.start("heartbeats", this::beat);
        for (String zone : ZONES) {
            nodes.add("front-" + zone, zone, REGIONS, store.address(), cloud.address(), List.of(
                "bounds.stableWindowMs=6000", "bounds.drainMs=10000", "bounds.graceS=6", "bounds.configApplyMs=6000",
                "bounds.fencingRequired=true"));
        }
        for (Nodes.Node node : nodes.all) nodes.start(node);
        if (!nodes.awaitReady(15)) {
            record.show("the nodes don't become ready");
            return 2;
        }
        for (Group group : groups) {
            for (int index = 0; index < SESSIONS; index++) {
                int port = nodes.all.get(index % nodes.all.size()).front;
                String name = group.service + "-" + index;
                Threads.start(name, () -> write(name, port, "db-" + group.service));
            }
        }
        Threads.sleep(5_000);
        for (int round = 0; round < ROUNDS; round++) {
            long next = record.millis() + ROUND_MILLIS;
            for (Group group : groups) {
                if (trouble) Threads.start("release", () -> release(group));
                Threads.sleep(300);
            }
            Threads.sleep(next - record.millis());
        }
        ended = true;
        Threads.sleep(1_500);
        return judge();
    }

    private void addGroup(int index) throws IOException {
        Group group = new Group("inventario-" + index, 1, record);
        groups.add(group);
        for (String zone : ZONES) group.add(newMember(group, zone, 0), zone.equals(ZONES.get(index % 2)));
        group.members.forEach(Member::register);
    }

    private Member newMember(Group group, String zone, int port) throws IOException {
        String id = String.format("i-%010x", random.nextLong() & 0xffffffffffL);
        return new Member(id, zone, port, group, DELAYS, 150, new Member.Limits(4, 57, 12, 8), store, record);
    }

    private void configure() {
        List<Object> routes = new ArrayList<>();
        List<Object> services = new ArrayList<>();
        for (Group group : groups) {
            routes.add(Map.of("name", "r-" + group.service, "database", "db-" + group.service, "type", "primary",
                "timeoutMs", 1000, "targetLatencyMs", 401, "priority", 0, "service", group.service));
            services.add(Map.of("name", group.service, "maxConnections", 57, "syncReplicas", 1));
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
        if (group.primary() == leaving) {
            record.line("member %s of %s drains, but no other one was promoted", leaving.id, group.service);
            return;
        }
        leaving.stop();
        group.remove(leaving);
        for (int tries = 0; tries < 40; tries++) {
            try {
                Member next = newMember(group, leaving.zone, leaving.port());
                group.add(next, false);
                next.register();
                record.line("member %s of %s starts with the log of %s", next.id, group.service, leaving.id);
                return;
            } catch (IOException inUse) {
                // The address is free once all connections of the former member are closed.
                Threads.sleep(50);
            }
        }
        record.line("no new member of %s", group.service);
    }

    private void write(String name, int port, String database) {
        Random pauses = new Random();
        int count = 0;
        Client client = null;
        while (!ended) {
            Threads.sleep(Math.min(2_000, (long) (-PAUSE_MILLIS * Math.log(1 - pauses.nextDouble()))));
            String request = String.format("%016x", pauses.nextLong());
            String item = name + "." + ++count;
            String outcome;
            try {
                if (client == null) client = new Client(port, database);
                sent.incrementAndGet();
                Client.Answer answer = client.query(request, "WRITE " + item + " " + request);
                outcome = answer.end();
                if (answer.isSuccess()) acknowledged.put(request, database + " " + item);
            } catch (IOException failure) {
                outcome = failure.toString();
                if (client != null) client.close();
                client = null;
            }
            record.line("%s: QUERY %s WRITE %s %s: %s", database, request, item, request, outcome);
        }
        if (client != null) client.close();
    }

    private int judge() throws IOException {
        int rolledBack = 0;
        int lost = 0;
        int promotions = 0;
        for (Group group : groups) {
            promotions += (int) (group.term() - 3);
            for (Group.RolledBack each : group.rolledBack) {
                rolledBack++;
                for (String request : each.commit().requests()) {
                    String where = acknowledged.get(request);
                    if (where == null) continue;
                    lost++;
                    record.show("LOST: commit %d.%d, request %s, was acknowledged and isn't in the log of %s, which was "
                            + "promoted at %.3f s; a read of %s now gives %s", each.commit().term(),
                        each.commit().number(), request, each.promoted(), each.promotedAt() / 1e3, where, read(where));
                }
            }
        }
        record.show("%d writes sent, %d acknowledged, %d promotions, %d commits rolled back, %d of them acknowledged",
            sent.get(), acknowledged.size(), promotions, rolledBack, lost);
        if (acknowledged.size() < sent.get() / 2 || trouble && promotions < GROUPS) return 2;
        return lost > 0 ? 1 : 0;
    }

    private String read(String where) throws IOException {
        String[] parts = where.split(" ");
        try (Client client = new Client(nodes.all.get(0).front, parts[0])) {
            Client.Answer answer = client.query(String.format("%016x", random.nextLong()), "READ " + parts[1]);
            return answer.rows() + " " + answer.end();
        }
    }
}
