import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One service: a primary and its replicas, which receive each commit after the delay of the network and apply it later.
 * The primary's log is kept with the time of each commit, so that what a replica has received follows from the time.
 */
final class Group {
    /** One commit and the client requests that it holds. */
    record Commit(long term, long number, Map<String, String> values, List<String> requests, long at) {}

    /** A commit that a promotion rolled back. */
    record RolledBack(Commit commit, String promoted, long promotedAt) {}

    final String service;
    final int synchronousReplicas;
    final List<Member> members = new ArrayList<>();
    final List<RolledBack> rolledBack = new ArrayList<>();
    private final List<Commit> log = new ArrayList<>();
    private final Record record;
    private Member primary;
    private long term = 3;

    Group(String service, int synchronousReplicas, Record record) {
        this.service = service;
        this.synchronousReplicas = synchronousReplicas;
        this.record = record;
    }

    synchronized void add(Member member, boolean leads) {
        members.add(member);
        if (leads) primary = member;
    }

    synchronized void remove(Member member) {
        members.remove(member);
    }

    synchronized Member primary() {
        return primary;
    }

    synchronized long term() {
        return term;
    }

    /** Number of commits that [member] has received. */
    synchronized int received(Member member) {
        return received(member, System.nanoTime());
    }

    private int received(Member member, long now) {
        if (member == primary) return log.size();
        long delay = member.delayFrom(primary);
        int count = log.size();
        while (count > 0 && log.get(count - 1).at + delay > now) count--;
        return count;
    }

    /** Number of commits that [member] has applied. */
    synchronized int applied(Member member) {
        return member == primary ? log.size() : received(member, System.nanoTime() - member.applyDelay);
    }

    /** The point TERM.NUMBER of the log after [count] commits. */
    synchronized String point(int count) {
        if (count == 0) return "3.0";
        Commit last = log.get(Math.min(count, log.size()) - 1);
        return last.term + "." + last.number;
    }

    /** Whether the first [count] commits reach [point]. */
    synchronized boolean covers(int count, String point) {
        String[] have = point(count).split("\\.");
        String[] want = point.split("\\.");
        long haveTerm = Long.parseLong(have[0]);
        long wantTerm = Long.parseLong(want[0]);
        return haveTerm > wantTerm || haveTerm == wantTerm && Long.parseLong(have[1]) >= Long.parseLong(want[1]);
    }

    /** The value of [item] after the first [count] commits; "-" if it was never written. */
    synchronized String value(int count, String item) {
        for (int index = Math.min(count, log.size()) - 1; index >= 0; index--) {
            String found = log.get(index).values.get(item);
            if (found != null) return found;
        }
        return "-";
    }

    /**
     * Commits [values] at [member] and returns the error of the answer, or null once it is acknowledged: at once, or
     * when the nearest replica has received it and its answer is back.
     */
    String commit(Member member, Map<String, String> values, List<String> requests) {
        Commit commit;
        long acknowledgedAt;
        synchronized (this) {
            if (member != primary) return "READONLY " + member.id;
            long now = System.nanoTime();
            long number = log.isEmpty() ? 1 : log.get(log.size() - 1).number + 1;
            commit = new Commit(term, number, new HashMap<>(values), List.copyOf(requests), now);
            log.add(commit);
            acknowledgedAt = now;
            if (synchronousReplicas > 0) {
                long nearest = members.stream().filter(each -> each != primary && each.isRunning())
                    .mapToLong(each -> each.delayFrom(primary)).min().orElse(5_000_000_000L);
                acknowledgedAt = now + 2 * nearest;
            }
        }
        long wait = acknowledgedAt - System.nanoTime();
        if (wait > 0) Threads.sleep((wait + 999_999) / 1_000_000);
        synchronized (this) {
            return member == primary && commit.term == term ? null : "TIMEOUT the lead was lost before the end";
        }
    }

    /** Makes [member] the primary of the next term with what it has received, and nothing more. */
    synchronized void promote(Member member) {
        if (member == primary || !member.isRunning()) return;
        long now = System.nanoTime();
        int count = received(member, now);
        List<Commit> ahead = log.subList(count, log.size());
        term++;
        record.line("promoted %s of %s to term %d at %s; commits that it has not received: %d",
            member.id, service, term, point(count), ahead.size());
        ahead.forEach(commit -> rolledBack.add(new RolledBack(commit, member.id, record.millis())));
        ahead.clear();
        primary = member;
    }
}
