package review;

import java.util.List;
import java.util.Map;

/** Writes of two lines of text, and a write within whose text stands another message. */
final class LineCase {
    public static void main(String[] arguments) {
        Lab.main(arguments, LineCase::run);
    }

    private static boolean run(Lab lab, boolean trouble) throws Exception {
        lab.configure(List.of(Lab.route("lepu270", lab.group.service, "primary", 800, 500, 0)));
        Node node = lab.node("front-cairo-a-1");
        node.start();
        node.awaitReady(20_000);
        Group.sleep(2_000);
        String feed = trouble ? "\n" : " ";
        // Written by one client each; the last field of a message extends to CR LF.
        Map<String, String> sent = Map.of(
            "n-1", "WRITE note king's robe" + feed + "size 3",
            "n-2", "WRITE note mary's veil" + feed + "QUERY n-3 WRITE deposit charged");
        for (String request : List.of("n-1", "n-2")) {
            try (Client client = new Client("client-" + request, node.front, "lepu270 u3f1", lab.record)) {
                client.ask(request, sent.get(request));
            }
            Group.sleep(500);
        }
        boolean isRight = true;
        for (Member member : lab.group.members) {
            for (Map.Entry<String, String> run : member.ran.entrySet()) {
                if (run.getValue().equals(sent.get(run.getKey()))) continue;
                isRight = false;
                lab.record.verdict(member.id + " ran " + run.getKey() + " \"" + run.getValue() + "\", sent was "
                    + (sent.containsKey(run.getKey()) ? "\"" + sent.get(run.getKey()) + "\"" : "no such request"));
            }
        }
        return isRight;
    }
}
