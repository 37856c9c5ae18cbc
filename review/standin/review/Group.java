package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One database: its members, the log of each, and the terms in which they lead. */
final class Group {
    /** A commit: term and number in the log, id of the request, and what it wrote. */
    record Commit(long term, long number, String request, Map<String, String> writes) {}

    final String service;
    final Record record;
    final List<Member> members = new ArrayList<>();
    volatile Member primary;
    volatile long term = 1;

    /** Milliseconds until a replica has received a commit, and until it has applied it. */
    volatile long receiveMs = 5;
    volatile long applyMs = 10;
    volatile long promoteMs = 1000;

    Group(String service, Record record) {
        this.service = service;
        this.record = record;
    }

    Member member(String id) {
        for (Member member : members) if (member.id.equals(id)) return member;
        return null;
    }

    /** Appends a commit at the primary; null if [member] does not lead. */
    synchronized Commit append(Member member, String request, Map<String, String> writes) {
        if (member != primary) return null;
        Commit commit = new Commit(term, member.log.size() + 1, request, new LinkedHashMap<>(writes));
        member.log.add(commit);
        member.receivedTerm = term;
        long now = System.currentTimeMillis();
        for (Member replica : members) {
            if (replica == member) continue;
            replica.arrivals.add(new Member.Arrival(now + receiveMs, now + receiveMs + applyMs, commit));
        }
        return commit;
    }

    /** Makes the member lead the next term with what it has received; the others lose what it has not. */
    boolean promote(String id) {
        Member next = member(id);
        if (next == null || !next.isRunning()) return false;
        if (next == primary) return true;
        Thread takeover = new Thread(() -> {
            sleep(promoteMs);
            synchronized (this) {
                next.takeReceived();
                List<Commit> kept = new ArrayList<>(next.log);
                for (Member member : members) {
                    member.advance();
                    member.arrivals.clear();
                    member.log.clear();
                    member.log.addAll(kept);
                    member.appliedCount = kept.size();
                }
                term++;
                primary = next;
            }
            record.log("group " + service + "  " + id + " leads term " + term);
            members.forEach(Member::announce);
        });
        takeover.setDaemon(true);
        takeover.start();
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
