import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Clients connect to a daemon that starts again, and later send bodies within the limits of the configuration. Rule DENIED. */
final class LimitsCase {
    private static final int ROUNDS = 3;
    private static final int CONNECTIONS = 8;
    private static final int RESTART_DELAY_MS = 200;
    private static final int BODY_BYTES = 2 * 1024 * 1024;

    private LimitsCase() {}

    static int run(Record record, boolean hasTrouble) throws Exception {
        try (Rig rig = new Rig(record, 34)) {
            rig.store.put("op/config", Rig.configuration(3, List.of("orders", "stock"), List.of(
                Rig.rule("r-orders", "unsafe", "/orders/", "orders", "4s"),
                Rig.rule("r-stock", "safe", "/stock/", "stock", "2s"))));
            rig.add("north-a", "stock", request -> new Server.Work(20, new byte[400]));
            rig.add("north-b", "orders", request -> new Server.Work(20, new byte[400]));
            rig.add("south-a", "orders", request -> new Server.Work(20, new byte[400]));
            for (Rig.Machine machine : rig.machines) machine.start();
            if (!rig.awaitServed("/stock/1") || !rig.awaitServed("/orders/1")) return 2;
            Rig.sleep(2_000);
            int sent = 0;
            int denied = 0;
            for (int round = 1; round <= ROUNDS; round++) {
                for (int status : round(rig, round, hasTrouble)) {
                    sent++;
                    if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) denied++;
                }
            }
            double bound = 5 + sent / 500.0;
            record.line(denied + " of " + sent + " requests were ended with a 4xx of the daemon, bound " + bound);
            return denied > bound ? 1 : 0;
        }
    }

    private static List<Integer> round(Rig rig, int round, boolean hasTrouble) throws Exception {
        Rig.Machine machine = rig.machines.get(0);
        if (hasTrouble) {
            machine.kill();
            rig.record.line("daemon of " + machine.name + " is killed");
            Rig.sleep(RESTART_DELAY_MS);
            machine.start();
        }
        List<Client> clients = new ArrayList<>();
        while (clients.size() < CONNECTIONS) {
            try {
                clients.add(new Client(machine.outbound, 6_000));
            } catch (IOException refused) {
                Rig.sleep(2);
            }
        }
        rig.record.line(CONNECTIONS + " clients have connected to " + machine.name);
        int number = 0;
        for (Client client : clients) {
            client.send("GET", "/stock/x", "first-" + round + "-" + ++number, 2_000, new byte[0]);
            rig.record.line("  connection " + number + ": first request, answer " + statusOf(client.answer()));
        }
        Rig.sleep(Rig.STABLE_WINDOW_MS + 1_000);
        List<Integer> statuses = new ArrayList<>();
        number = 0;
        for (Client client : clients) {
            String attempt = "large-" + round + "-" + ++number;
            int status;
            try {
                client.send("POST", "/orders/x", attempt, 4_000, new byte[BODY_BYTES]);
                status = statusOf(client.answer());
            } catch (IOException ended) {
                status = 0;
            }
            rig.record.line("  connection " + number + ": order with a body of " + BODY_BYTES + " bytes, limit 67108864, answer "
                + status + ", runs " + rig.record.runsOf(attempt));
            statuses.add(status);
            client.close();
        }
        return statuses;
    }

    private static int statusOf(Wire.Message answer) {
        return answer == null ? 0 : answer.status();
    }
}
