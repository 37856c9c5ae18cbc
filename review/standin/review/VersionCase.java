package review;

import java.util.List;
import java.util.Map;

/** A route moves to another service while the process that serves that service is cut off from the store. */
final class VersionCase {
    private static final long CUT_MS = 5_500;

    public static void main(String[] arguments) throws Exception {
        Lab.main(arguments, VersionCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        // By the hash of these names, "front-porto-um-1" is the home of the old service and "front-porto-um-2" that
        // of the new one; the latter also watches the store for the other.
        Group next = lab.group;
        Group old = lab.addGroup("wuno96b", "i-000001");
        Map<String, Object> moved = Lab.route("consulta", old.service, "primary", 800, 250, 0);
        Map<String, Object> kept = Lab.route("correcao", old.service, "read_your_writes", 800, 500, 1);
        Object[] tenants = {"tenants", List.of(Json.of("name", "clube", "apiKeys", List.of("k-clube")))};
        lab.configure(List.of(kept, moved), tenants);
        Cut cut = new Cut(lab.store.address());
        Node entry = lab.node("front-porto-um-1");
        Node home = lab.node("front-porto-um-2", "platform.address=" + cut.address());
        entry.start();
        home.start();
        entry.awaitReady(20_000);
        home.awaitReady(20_000);
        Group.sleep(8_000);
        use(lab, entry, "consulta", "o-1");

        lab.record.log("the store is cut off from " + home.name + ": " + trouble);
        long cutAt = lab.record.now();
        cut.silence(trouble);
        Group.sleep(200);
        lab.configure(List.of(kept), tenants);
        Group.sleep(200);
        Map<String, Object> added = Lab.route("tempos", old.service, "primary", 800, 250, 0);
        lab.configure(List.of(kept, added, Lab.route("consulta", next.service, "primary", 800, 250, 0)), tenants);

        // The new route is served through the entry: from then on, its requests follow the new version.
        int tries = 0;
        while (!use(lab, entry, "tempos", "t-" + ++tries)) {
            if (lab.record.now() - cutAt > CUT_MS) throw new IllegalStateException("the new route is not served");
            Group.sleep(100);
        }
        long seenAt = lab.record.now();
        Group.sleep(400);
        int count = 0;
        while (lab.record.now() - cutAt < CUT_MS) {
            use(lab, entry, "consulta", "n-" + ++count);
            Group.sleep(200);
        }
        cut.silence(false);
        long wrong = old.members.stream().flatMap(member -> member.ran.keySet().stream())
            .filter(request -> request.startsWith("n-")).count();
        lab.record.verdict("of " + count + " requests sent more than 400 ms after " + entry.name
            + " had served the new version, the old service ran " + wrong);
        if (count == 0) throw new IllegalStateException("the new version was seen too late");
        return wrong == 0;
    }

    /** Writes once in a session of its own; returns whether it succeeded. */
    private static boolean use(Lab lab, Node node, String database, String request) {
        try (Client client = new Client(database, node.front, database + " k-clube", lab.record)) {
            return client.ask(request, "WRITE bib-7 " + request).isComplete();
        } catch (java.io.IOException refused) {
            lab.record.log(database + "  " + request + " " + refused.getMessage());
            return false;
        }
    }
}
