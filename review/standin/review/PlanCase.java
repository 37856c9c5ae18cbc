package review;

import java.util.List;

/** A client prepares a statement whose shape holds blanks, and executes it. */
final class PlanCase {
    public static void main(String[] arguments) {
        Lab.main(arguments, PlanCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.configure(List.of(Lab.route("lepu270", lab.group.service, "primary", 800, 500, 0)));
        Node node = lab.node("front-cairo-a-1");
        node.start();
        node.awaitReady(20_000);
        Group.sleep(2_000);
        String blank = trouble ? " " : "-";
        boolean isRight = true;
        try (Client client = new Client("client", node.front, "lepu270 u3f1", lab.record)) {
            client.ask("p-1", "WRITE bench-4 free");
            client.ask("p-2", "PREPARE s1 WRITE ledger" + blank + "WRITE" + blank + "ahead");
            Client.Answer written = client.ask("p-3", "EXECUTE s1 bench-4 taken");
            client.ask("p-4", "PREPARE s2 READ seats" + blank + "READ" + blank + "committed");
            Client.Answer read = client.ask("p-5", "EXECUTE s2 bench-4");
            Client.Answer plain = client.ask("p-6", "READ bench-4");
            if (read.isComplete() && !read.rows().equals(plain.rows())) {
                isRight = false;
                lab.record.verdict("the prepared read of bench-4 succeeds with " + read.rows() + ", a plain one with "
                    + plain.rows());
            }
            if (written.isComplete() && !plain.rows().equals(List.of("taken"))) {
                isRight = false;
                lab.record.verdict("the prepared write of bench-4 succeeds, but bench-4 is " + plain.rows());
            }
        }
        for (Member member : lab.group.members) {
            member.planned.forEach(
                (request, shape) -> lab.record.verdict(member.id + " ran " + request + " with " + shape));
        }
        return isRight;
    }
}
