import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The final fault: all processes are killed. While they recover, all clients of one process book at the same moment, and
 * the primary is cut off from this process for a while then; three times. Later bookings have to be served.
 */
public final class CrowdDuringCut {
    private static final int USERS = Integer.getInteger("users", 250);

    /** Users that book all the time and do not wait for the others. */
    private static final int BUSY_USERS = 5;
    private static final int CUT_MS = 3_000;
    private static final AtomicInteger silent = new AtomicInteger();
    private static final int CUTS = 3;
    private static final AtomicInteger waiting = new AtomicInteger();
    private static volatile CountDownLatch burst = new CountDownLatch(1);

    /** Number of the crowd that gathers or has gathered last. */
    private static volatile int crowd;
    private static volatile boolean ended;
    private static volatile AtomicInteger sent = new AtomicInteger();
    private static volatile AtomicInteger served = new AtomicInteger();

    public static void main(String[] arguments) {
        Deployment.play(arguments, CrowdDuringCut::run);
    }

    private static boolean run(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
        Record record = deployment.record;
        Group group = deployment.group("inventario", 0);
        deployment.hasPaths = true;
        deployment.startFirst(group);
        Vm vm = deployment.vms.get(2);
        Group.Member primary = group.leader();
        Path path = deployment.paths.get(2).get(primary.id);
        for (int i = 0; i < USERS; i++) {
            int user = i;
            Record.daemon(() -> book(record, user, vm));
        }
        Thread.sleep(4_000);
        count(record, 6_000, "before");
        double before = share();
        deployment.platform.put("config", "main", Deployment.configuration(9, group));
        if (trouble) killAll(deployment, vm);
        Thread.sleep(5_000);
        // A process that decides failovers would have another member promoted when the primary is cut off from it.
        for (int i = 0; trouble && i < 2 && decides(deployment, vm); i++) {
            killAll(deployment, vm);
            Thread.sleep(5_000);
        }
        if (decides(deployment, vm)) throw new IllegalStateException(vm.name + " decides failovers");
        for (int cut = 1; cut <= CUTS; cut++) {
            waiting.set(0);
            burst = new CountDownLatch(1);
            crowd = cut;
            for (int i = 0; i < 400 && waiting.get() < USERS - BUSY_USERS; i++) Thread.sleep(10);
            record.line("case", waiting + " clients book at once");
            burst.countDown();
            Thread.sleep(75);
            if (trouble) {
                record.line("case", primary.id + " is cut off from " + vm.name);
                path.cut();
            }
            Thread.sleep(CUT_MS);
            if (trouble) {
                path.heal();
                record.line("case", primary.id + " is reached again");
            }
            Thread.sleep(4_000);
        }
        Thread.sleep(12_000);
        count(record, 10_000, "later than recoverS after the cut");
        double after = share();
        record.result(group.leader().id + " leads" + (group.leader() == primary ? " as before" : "") + "; share of "
                + "bookings served before: " + before + ", after: " + after + "; bookings without an answer: " + silent);
        for (Vm each : deployment.vms) checkOne(record, each);
        ended = true;
        if (before < 0.25) throw new IllegalStateException("too little was served before");
        return after >= 0.25;
    }

    private static boolean decides(Deployment deployment, Vm vm) {
        return deployment.platform.holds("duties/failover", vm.name + "/");
    }

    /** Kills all processes and starts them again, [last] 0.3 s after the others. */
    private static void killAll(Deployment deployment, Vm last) throws IOException, InterruptedException {
        deployment.record.line("case", "all processes are killed");
        for (Vm each : deployment.vms) each.end();
        Thread.sleep(600);
        for (Vm each : deployment.vms) {
            if (each == last) Thread.sleep(300);
            each.start();
        }
        for (Vm each : deployment.vms) each.awaitReady(20_000);
        deployment.record.line("case", "all processes are ready");
    }

    private static void checkOne(Record record, Vm vm) {
        try (Client client = new Client(vm.callers, "reserva", 5_000)) {
            Client.Answer answer = client.run("o" + vm.callers, "WRITE other 1");
            record.result(vm.name + (vm.isReady() ? ", ready" : ", not ready") + ": " + answer.result());
        } catch (IOException failure) {
            record.result(vm.name + ": " + failure.getMessage());
        }
    }

    private static void count(Record record, long millis, String when) throws InterruptedException {
        sent = new AtomicInteger();
        served = new AtomicInteger();
        Thread.sleep(millis);
        record.result("sent " + when + ": " + sent + ", served: " + served);
    }

    private static double share() {
        return Math.round(served.get() * 1_000.0 / Math.max(1, sent.get())) / 1_000.0;
    }

    /** Books, with two retries after a promise that nothing is kept, and rests between two bookings. */
    private static void book(Record record, int user, Vm vm) {
        int number = 0;
        int joined = user < BUSY_USERS ? CUTS : 0;
        try {
            Thread.sleep(user * 3_000L / USERS);
            while (!ended) {
                try (Client client = new Client(vm.callers, "reserva", 3_000)) {
                    while (!ended) {
                        if (crowd > joined) {
                            joined = crowd;
                            waiting.incrementAndGet();
                            burst.await();
                        }
                        number++;
                        AtomicInteger toServe = served;
                        sent.incrementAndGet();
                        for (int attempt = 0; attempt < 3; attempt++) {
                            String id = "u" + user + "n" + number + "a" + attempt;
                            Client.Answer answer = client.run(id, "WRITE robe" + user + " " + number);
                            record.line(vm.name, id + " -> " + answer.result());
                            if (answer.completed()) toServe.incrementAndGet();
                            if (answer.completed() || "INDOUBT".equals(answer.code())) break;
                            Thread.sleep(100);
                        }
                        client.rest(user < BUSY_USERS ? 100 : 3_000);
                    }
                } catch (IOException failure) {
                    record.line(vm.name, "u" + user + "n" + number + " -> " + failure.getMessage());
                    if (failure instanceof SocketTimeoutException) silent.incrementAndGet();
                    Thread.sleep(1_000);
                }
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }
}
