import java.io.IOException;

/** Clients prepare statements and execute them; the shape of one of them holds blanks. */
public final class ShapesWithBlanks {
    private static int wrong;

    public static void main(String[] arguments) {
        Deployment.play(arguments, ShapesWithBlanks::run);
    }

    private static boolean run(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
        Group group = deployment.group("inventario", 0);
        deployment.start(group);
        String shape = trouble ? "booking WRITE deposit" : "booking-WRITE-deposit";
        String listing = trouble ? "costume READ sizes" : "costume-READ-sizes";
        int number = 0;
        for (Vm vm : deployment.vms) {
            try (Client client = new Client(vm.callers, "reserva", 5_000)) {
                expect(group, vm, client, "p" + ++number, "PREPARE s1 WRITE " + shape, null);
                for (int i = 0; i < 3; i++) {
                    String item = "robe" + number + i;
                    expect(group, vm, client, "e" + number + "n" + i, "EXECUTE s1 " + item + " paid",
                            "WRITE " + shape + "|" + item + "|paid");
                }
            }
            try (Client client = new Client(vm.callers, "catalogo", 5_000)) {
                expect(group, vm, client, "q" + number, "PREPARE s1 READ " + listing, null);
                for (int i = 0; i < 3; i++) {
                    String item = "robe" + number + i;
                    expect(group, vm, client, "f" + number + "n" + i, "EXECUTE s1 " + item,
                            "READ " + listing + "|" + item);
                }
            }
        }
        deployment.record.result(wrong + " statements succeeded that ran another shape, on another item or data");
        return wrong == 0;
    }

    /** Runs [text]; if it succeeds, the member must have run [expected]. */
    private static void expect(Group group, Vm vm, Client client, String id, String text, String expected)
            throws IOException {
        Client.Answer answer = client.run(id, text);
        group.record().line(vm.name, id + " " + text + " -> " + answer.rows() + " " + answer.result());
        String ran = group.executed.get(id);
        if (!answer.completed() || expected == null || expected.equals(ran)) return;
        group.record().line("result", id + " was to run " + expected + " and ran " + ran);
        wrong++;
    }
}
