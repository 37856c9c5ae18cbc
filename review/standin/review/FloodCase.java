package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Few clients send questions without waiting for the answers; another one is served before, and asks again after. */
final class FloodCase {
    private static final int FLOODERS = 8;
    private static final int BATCH = 500;
    private static final long FLOOD_MS = 6_500;
    private static final int PAUSE_MS = 10;
    private static final long RECOVERY_MS = 30_000;
    private static final long OBSERVED_MS = 10_000;

    public static void main(String[] arguments) {
        Lab.main(arguments, FloodCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.configure(List.of(Lab.route("lepu270", lab.group.service, "primary", 800, 500, 0)));
        Node node = lab.node("front-cairo-a-1");
        node.start();
        node.awaitReady(20_000);
        Group.sleep(2_000);
        int before = serve(lab, node, "before", 2_000);
        AtomicInteger sent = new AtomicInteger();
        if (trouble) {
            for (int i = 0; i < FLOODERS; i++) flood(lab, node, "flood-" + i, sent);
        }
        Group.sleep(FLOOD_MS + RECOVERY_MS);
        long processorBefore = processorMillis(node);
        long from = lab.record.now();
        int after = serve(lab, node, "after", OBSERVED_MS);
        long used = processorMillis(node) - processorBefore;
        long passed = lab.record.now() - from;
        lab.record.verdict(before + " requests served before, " + sent + " sent by " + FLOODERS + " clients in "
            + FLOOD_MS + " ms, " + after + " served from " + RECOVERY_MS + " ms after they had left");
        lab.record.verdict("then the process runs: " + node.isRunning() + ", is ready: " + node.isReady() + ", used "
            + used + " ms of processor time in " + passed + " ms");
        if (before < 20) throw new IllegalStateException("too few requests were served before");
        return after > 0;
    }

    /** Reads again and again in one session after the other; returns how many reads succeeded. */
    private static int serve(Lab lab, Node node, String name, long millis) {
        long until = System.currentTimeMillis() + millis;
        int served = 0;
        for (int i = 0; System.currentTimeMillis() < until; i++) {
            try (Client client = new Client(name, node.front, "lepu270 u3f1", lab.record)) {
                for (Client.Answer answer = null; System.currentTimeMillis() < until; i++) {
                    answer = client.ask(name + "-" + i, "READ k");
                    if (answer.isClosed()) break;
                    if (answer.isComplete()) served++;
                    Group.sleep(30);
                }
            } catch (IOException refused) {
                lab.record.log(name + "  " + refused.getMessage());
            }
            Group.sleep(100);
        }
        return served;
    }

    private static void flood(Lab lab, Node node, String name, AtomicInteger sent) {
        Thread thread = new Thread(() -> {
            int count = 0;
            long until = System.currentTimeMillis() + FLOOD_MS;
            try (Socket socket = new Socket("127.0.0.1", node.front)) {
                // A write to a process that no longer reads must not keep the client from leaving in time.
                Thread leave = new Thread(() -> {
                    Group.sleep(FLOOD_MS);
                    try {
                        socket.close();
                    } catch (IOException closed) {
                        lab.record.log(name + "  " + closed.getMessage());
                    }
                });
                leave.setDaemon(true);
                leave.start();
                socket.getOutputStream().write("START lepu270 u3f1\r\n".getBytes(StandardCharsets.UTF_8));
                while (System.currentTimeMillis() < until) {
                    StringBuilder batch = new StringBuilder();
                    for (int i = 0; i < BATCH; i++) {
                        batch.append("QUERY ").append(name).append(count + i).append(" READ k\r\n");
                    }
                    socket.getOutputStream().write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    count += BATCH;
                    sent.addAndGet(BATCH);
                    Group.sleep(PAUSE_MS);
                }
            } catch (IOException cut) {
                lab.record.log(name + "  " + cut.getMessage());
            }
            lab.record.log(name + "  sent " + count + " questions and left");
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Processor time that the process has used, in milliseconds; the kernel counts in hundredths of a second. */
    private static long processorMillis(Node node) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + node.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 10;
    }
}
