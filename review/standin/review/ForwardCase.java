package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A process is killed while its client's COMMIT runs, and starts again before the member has answered. */
final class ForwardCase {
    /** Work of two requests at the primary, which is 8 times as slow as usual for part of what it runs. */
    private static final long SLOW_COMMIT_MS = 200 * 8;
    private static final long SLOW_READ_MS = 150 * 8;

    public static void main(String[] arguments) {
        Lab.main(arguments, ForwardCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.configure(
            List.of(Lab.route("consulta", lab.group.service, "bounded_staleness", 2000, 1200, 1),
                Lab.route("tempos", lab.group.service, "primary", 800, 250, 0)),
            "tenants", List.of(Json.of("name", "clube", "apiKeys", List.of("k-clube"))));
        Member primary = lab.group.primary;
        primary.workOf.put("w-commit", SLOW_COMMIT_MS);
        primary.workOf.put("r2-read", SLOW_READ_MS);
        Node entry = lab.node("front-porto-um-1");
        // By the hash of these names, the second process is the home of the service and runs what the first takes.
        Node home = lab.node("front-porto-um-2");
        entry.start();
        home.start();
        entry.awaitReady(20_000);
        home.awaitReady(20_000);
        Group.sleep(6_000);
        AtomicBoolean isRight = new AtomicBoolean(true);
        AtomicBoolean ended = new AtomicBoolean();
        Thread traffic = thread(() -> {
            Client caller = new Client("caller", home.front, "tempos k-clube", lab.record);
            for (int i = 1; !ended.get(); i++) {
                if (!read(lab, caller, "c-" + i)) isRight.set(false);
                Group.sleep(40);
            }
        });

        Client writer = new Client("writer", entry.front, "consulta k-clube", lab.record);
        writer.ask("w-begin", "BEGIN");
        writer.ask("w-read", "READ standing");
        writer.ask("w-write", "WRITE result 4711");
        Thread commit = thread(() -> writer.ask("w-commit", "COMMIT"));
        Group.sleep(60);
        if (trouble) {
            entry.kill();
            entry.start();
            entry.awaitReady(20_000);
        }
        Group.sleep(250);
        List<Thread> readers = new ArrayList<>();
        for (String name : List.of("r1", "r2")) {
            Client reader = new Client(name, entry.front, "consulta k-clube", lab.record);
            reader.ask(name + "-begin", "BEGIN");
            readers.add(thread(() -> {
                if (!read(lab, reader, name + "-read")) isRight.set(false);
            }));
            Group.sleep(20);
        }
        for (Thread reader : readers) reader.join(10_000);
        commit.join(5_000);
        ended.set(true);
        traffic.join(5_000);
        return isRight.get();
    }

    private interface Task {
        void run() throws Exception;
    }

    private static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        });
        thread.start();
        return thread;
    }

    /** Reads once; returns whether a success carries the signature of the member that ran this read, and its row. */
    private static boolean read(Lab lab, Client reader, String request) {
        Client.Answer answer = reader.ask(request, "READ standing");
        if (answer.isClosed()) throw new IllegalStateException("the reader's session has ended");
        if (!answer.isComplete()) return true;
        boolean isSigned = lab.group.members.stream()
            .anyMatch(member -> answer.result().equals("COMPLETE sig-" + member.id + "-" + request));
        boolean isRight = isSigned && answer.rows().equals(List.of("none"));
        if (!isRight) lab.record.verdict("the answer to " + request + " is " + answer.rows() + " " + answer.result());
        return isRight;
    }
}
