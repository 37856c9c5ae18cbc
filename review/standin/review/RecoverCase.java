package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All processes are killed; after their start, the first booking of each gets no answer from the primary. */
final class RecoverCase {
    private static final long RECOVER_MS = 15_000;
    private static final long OBSERVED_MS = 20_000;

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();

    public static void main(String[] arguments) {
        Lab.main(arguments, RecoverCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.configure(List.of(Lab.route("seat", lab.group.service, "primary", 800, 500, 0),
            Lab.route("bench", lab.group.service, "primary", 800, 500, 0)));
        List<Node> nodes = List.of(lab.node("front-cairo-a-1"), lab.node("front-cairo-a-2"));
        for (Node node : nodes) node.start();
        for (Node node : nodes) node.awaitReady(20_000);
        Group.sleep(2_000);
        lab.record.log("before the final fault");
        int before = share(lab, nodes, "before", 8_000);

        lab.record.log("the final fault");
        for (Node node : nodes) node.kill();
        Group.sleep(900);
        if (trouble) {
            for (int i = 0; i < nodes.size(); i++) {
                String request = "recovery-seat-" + i + "-0";
                lab.group.members.forEach(member -> member.hung.add(request));
            }
        }
        for (Node node : nodes) node.start();
        for (Node node : nodes) node.awaitReady(20_000);
        long backAt = System.currentTimeMillis();
        // Reads come first; each process has a connection to the primary when the first booking arrives.
        for (int i = 0; i < 3; i++) {
            for (Node node : nodes) {
                try (Client client = new Client("reader", node.front, "bench u3f1", lab.record)) {
                    client.ask("first-" + node.name + "-" + i, "READ seat-7");
                }
            }
            Group.sleep(300);
        }
        share(lab, nodes, "recovery", backAt + RECOVER_MS - System.currentTimeMillis());
        lab.record.log("from here on the requests count");
        int after = share(lab, nodes, "after", OBSERVED_MS);
        lab.record.verdict("served before the final fault: " + before + " %, later than " + RECOVER_MS
            + " ms after the processes were back: " + after + " %");
        if (before < 25) throw new IllegalStateException("too little was served before the final fault");
        return after >= 25;
    }

    /** Plays the usual traffic for [millis] and returns the share of its requests that are served, in percent. */
    private static int share(Lab lab, List<Node> nodes, String phase, long millis) throws InterruptedException {
        SENT.set(0);
        SERVED.set(0);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            clients.add(client(lab, nodes.get(i), "seat", phase + "-seat-" + i, 0, 1_000, millis));
            clients.add(client(lab, nodes.get(i), "bench", phase + "-bench-" + i, 2_000, 4_000, millis));
        }
        for (Thread client : clients) client.join();
        return SENT.get() == 0 ? 0 : 100 * SERVED.get() / SENT.get();
    }

    private static Thread client(
        Lab lab, Node node, String database, String name, long delay, long interval, long millis) {
        Thread thread = new Thread(() -> {
            long until = System.currentTimeMillis() + millis;
            Group.sleep(delay);
            for (int i = 0; System.currentTimeMillis() < until; i++) {
                SENT.incrementAndGet();
                try (Client client = new Client(name, node.front, database + " u3f1", lab.record)) {
                    String text = database.equals("seat") ? "WRITE seat-7 " + name + "-" + i : "READ seat-7";
                    if (client.ask(name + "-" + i, text).isComplete()) SERVED.incrementAndGet();
                } catch (IOException refused) {
                    lab.record.log(name + "  " + refused.getMessage());
                }
                Group.sleep(interval);
            }
        });
        thread.start();
        return thread;
    }
}
