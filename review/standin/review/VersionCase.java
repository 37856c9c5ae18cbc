package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A route moves to another service while a process that watches the store for others is cut off from the store. */
final class VersionCase {
    private static final int ROUNDS = 4;
    private static final long CUT_MS = 5_500;
    private static final long CALM_MS = 8_000;

    /** More than `rollbackSlackMs`, which is 250. */
    private static final long SLACK_MS = 300;

    public static void main(String[] arguments) {
        Lab.main(arguments, VersionCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        // The entry is alone in its region, and so the home there of the old service. In the other region, by the hash
        // of the names, "front-luxor-a-3" watches the store for both, and the other one is the home of the new service.
        Group old = lab.group;
        Group next = lab.addGroup("wuno96b", "i-000001", Lab.OTHER_ZONE);
        Map<String, Object> kept = Lab.route("correcao", old.service, "read_your_writes", 800, 500, 1);
        Map<String, Object> atOld = Lab.route("consulta", old.service, "primary", 800, 250, 0);
        Map<String, Object> atNext = Lab.route("consulta", next.service, "primary", 800, 250, 0);
        Object[] tenants = {"tenants", List.of(Json.of("name", "clube", "apiKeys", List.of("k-clube")))};
        lab.configure(List.of(kept, atOld), tenants);
        Cut cut = new Cut(lab.store.address());
        Node entry = lab.node("front-cairo-a-1");
        Node home = lab.nodeIn(Lab.OTHER_ZONE, "front-luxor-a-2");
        Node watcher = lab.nodeIn(Lab.OTHER_ZONE, "front-luxor-a-3", "platform.address=" + cut.address());
        for (Node node : List.of(entry, home, watcher)) node.start();
        for (Node node : List.of(entry, home, watcher)) node.awaitReady(20_000);
        Group.sleep(CALM_MS);

        int sent = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            use(lab, entry, "consulta", "before-" + round);
            lab.record.log("the store is cut off from " + watcher.name + ": " + trouble);
            long cutAt = lab.record.now();
            cut.silence(trouble);
            Group.sleep(50);
            lab.configure(List.of(kept), tenants);
            Group.sleep(100);
            String added = "tempos-" + round;
            lab.configure(List.of(kept, atNext, Lab.route(added, old.service, "primary", 800, 250, 0)), tenants);

            // Only the new version has this route: once it is served, requests to the entry follow that version.
            for (int i = 1; !use(lab, entry, added, "seen-" + round + "-" + i); i++) {
                if (lab.record.now() - cutAt > CUT_MS) throw new IllegalStateException("the new route is not served");
                Group.sleep(20);
            }
            Group.sleep(SLACK_MS);
            for (int i = 1; lab.record.now() - cutAt < CUT_MS; i++, sent++) {
                use(lab, entry, "consulta", "after-" + round + "-" + i);
                Group.sleep(30);
            }
            lab.record.log("the cut ends");
            cut.silence(false);
            lab.configure(List.of(kept, atOld), tenants);
            Group.sleep(CALM_MS);
        }
        List<String> wrong = old.members.stream().flatMap(member -> member.ran.keySet().stream())
            .filter(request -> request.startsWith("after-")).sorted().toList();
        lab.record.verdict("of " + sent + " requests sent more than " + SLACK_MS + " ms after " + entry.name
            + " had served the new version, the old service ran " + wrong.size());
        return wrong.isEmpty();
    }

    /** Writes once in a session of its own; returns whether it succeeded. */
    private static boolean use(Lab lab, Node node, String database, String request) {
        try (Client client = new Client(database, node.front, database + " k-clube", lab.record)) {
            return client.ask(request, "WRITE bib-7 " + request).isComplete();
        } catch (IOException refused) {
            lab.record.log(database + "  " + request + " " + refused.getMessage());
            return false;
        }
    }
}
