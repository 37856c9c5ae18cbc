import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The primary of a service with one synchronous replica is to be replaced, while one of its replicas receives nothing
 * for a while and the other one serves reads. Clients book and browse all the while.
 */
public final class ReleaseWhileReplicaIsDeaf {
    /** Each browses without a pause, so that together most of the nine slots are in use. */
    private static final int READERS = Integer.getInteger("readers", 12);
    private static final int WRITERS = 6;
    private static final boolean CRASH = Boolean.getBoolean("crash");

    public static void main(String[] arguments) {
        Deployment.play(arguments, ReleaseWhileReplicaIsDeaf::run);
    }

    private static boolean run(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
        Record record = deployment.record;
        Group group = deployment.group("inventario", 1);
        group.readMs = 40;
        deployment.start(group);
        AtomicLong until = new AtomicLong(Long.MAX_VALUE);
        Set<String> acknowledged = Collections.synchronizedSet(new HashSet<>());
        AtomicInteger reads = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WRITERS; i++) {
            int writer = i;
            Vm vm = deployment.vms.get(i % deployment.vms.size());
            clients.add(Record.daemon(() -> write(record, vm, writer, until, acknowledged)));
        }
        for (int i = 0; i < READERS; i++) {
            int reader = i;
            Vm vm = deployment.vms.get(i % deployment.vms.size());
            clients.add(Record.daemon(() -> read(record, vm, reader, until, reads)));
        }
        Thread.sleep(4_000);
        Group.Member primary = group.leader();
        Group.Member deaf = group.members.get(1);
        record.line("case", acknowledged.size() + " commits acknowledged, " + reads + " reads answered");
        if (trouble) group.setDeaf(deaf, true);
        Thread.sleep(1_500);
        if (CRASH) {
            record.line("member", primary.id + " crashes");
            primary.crash();
        } else {
            primary.draining = true;
            deployment.platform.announce(group, primary);
            record.line("member", primary.id + " reports draining");
        }
        // The replica receives again after 6 s in all.
        Thread.sleep(4_500);
        if (deaf.deaf) group.setDeaf(deaf, false);
        for (int i = 0; i < 400 && group.leader() == primary; i++) Thread.sleep(100);
        Thread.sleep(1_500);
        until.set(System.nanoTime());
        for (Thread client : clients) client.join(5_000);
        Group.Member promoted = group.leader();
        if (promoted == primary) throw new IllegalStateException("no member was promoted");
        for (Group.Member member : group.members) {
            record.line("member", member.id + " answered STATUS " + member.statusAnswered + " times with a row and "
                    + member.statusBusy + " times with BUSY");
        }
        List<String> lost = new ArrayList<>(acknowledged);
        lost.removeAll(new HashSet<>(group.requestsIn(promoted)));
        for (String request : lost) record.line("result", "lost " + request);
        record.result(promoted.id + " was promoted" + (trouble && promoted == deaf ? ", which received nothing" : "") + "; of "
                + acknowledged.size() + " acknowledged commits its log lacks " + lost.size());
        return lost.isEmpty();
    }

    /** Books one item after the other; a booking that is not acknowledged is not repeated. */
    private static void write(Record record, Vm vm, int writer, AtomicLong until, Set<String> acknowledged) {
        int number = 0;
        while (System.nanoTime() < until.get()) {
            try (Client client = new Client(vm.callers, "reserva", 5_000)) {
                while (System.nanoTime() < until.get()) {
                    String id = "w" + writer + "n" + ++number;
                    Client.Answer answer = client.run(id, "WRITE item" + writer + "-" + number + " booked");
                    record.line(vm.name, id + " WRITE item" + writer + "-" + number + " -> " + answer.result());
                    if (answer.completed()) acknowledged.add(id);
                    Thread.sleep(answer.completed() ? 60 : 100);
                }
            } catch (IOException failure) {
                record.line(vm.name, "w" + writer + "n" + number + " -> " + failure.getMessage());
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private static void read(Record record, Vm vm, int reader, AtomicLong until, AtomicInteger reads) {
        int number = 0;
        while (System.nanoTime() < until.get()) {
            try (Client client = new Client(vm.callers, "catalogo", 5_000)) {
                while (System.nanoTime() < until.get()) {
                    String id = "r" + reader + "n" + ++number;
                    Client.Answer answer = client.run(id, "READ item0-1");
                    record.line(vm.name, id + " READ item0-1 -> " + answer.result());
                    if (answer.completed()) reads.incrementAndGet();
                    else Thread.sleep(50);
                }
            } catch (IOException failure) {
                record.line(vm.name, "r" + reader + "n" + number + " -> " + failure.getMessage());
            } catch (InterruptedException ended) {
                return;
            }
        }
    }
}
