import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/** A request makes each server that begins to run it crash and fall silent, and comes again. Rule BUDGET. */
final class PoisonCase {
    private static final int SERVERS = 5;
    private static final int SILENT_MS = 4_000;
    private static final int SENDINGS = 16;
    private static final int SENDING_INTERVAL_MS = 5_000;
    private static final int CLIENT_WAITS_MS = 4_000;
    private static final int MAX_RETRIES = 3;

    /** For comparison, CRASH=reset has crashed servers reset their connections. */
    private static final boolean WITH_RESETS = "reset".equals(System.getenv("CRASH"));
    private static final String POISON = "/reports/77?mode=full";

    private record Reach(String attempt, String server, long nanos) {}

    private PoisonCase() {}

    static int run(Record record, boolean hasTrouble) throws Exception {
        ConcurrentLinkedQueue<Reach> reaches = new ConcurrentLinkedQueue<>();

        try (Rig rig = new Rig(record, 37)) {

            rig.store.put("op/config", Rig.configuration(3, List.of("reports", "stock"), List.of(
                Rig.rule("r-reports", "safe", "/reports/", "reports", "4s"),
                Rig.rule("r-stock", "safe", "/stock/", "stock", "2s"))));
            List<String> zones = List.of("north-a", "north-b", "central-a", "central-b", "south-a", "south-b");
            for (int number = 0; number < 2; number++) {
                rig.add(zones.get(number), "stock", request -> new Server.Work(20, new byte[400]));
            }
            for (int number = 0; number < SERVERS; number++) {
                int index = rig.machines.size();
                rig.add(zones.get((number + 1) % zones.size()), "reports", request -> {
                    if (request.line.contains(POISON + " ")) {
                        Server server = rig.machines.get(index).server;
                        reaches.add(new Reach(request.header("X-Attempt-Id"), server.id, System.nanoTime()));
                        if (hasTrouble && WITH_RESETS) server.crashFor(rig.store, SILENT_MS);
                        if (hasTrouble && !WITH_RESETS) server.fallSilent(rig.store, SILENT_MS);
                    }
                    return new Server.Work(40, new byte[400]);
                });
            }
            for (Rig.Machine machine : rig.machines) machine.start();
            if (!rig.awaitServed("/stock/1") || !rig.awaitServed("/reports/1")) return 2;
            Rig.sleep(4_000);
            AtomicBoolean isOver = new AtomicBoolean();
            for (Rig.Machine machine : rig.machines.subList(0, 2)) Rig.background(() -> usual(machine, isOver));
            for (int number = 1; number <= SENDINGS; number++) {
                Rig.Machine machine = rig.machines.get(number % 2);
                String attempt = "poison-" + number;
                long sentAt = System.nanoTime();
                int status = Client.call(machine.outbound, "GET", POISON, attempt, CLIENT_WAITS_MS, new byte[0]);
                long tookMs = (System.nanoTime() - sentAt) / 1_000_000;
                record.line(attempt + " by " + machine.name + ": answer " + status + " after " + tookMs + " ms, reached "
                    + serversOf(attempt, reaches));
                Rig.sleep(Math.max(0, SENDING_INTERVAL_MS - tookMs));
            }
            isOver.set(true);
            return judge(record, reaches, hasTrouble);
        }
    }

    private static List<String> serversOf(String attempt, Iterable<Reach> reaches) {
        List<String> servers = new ArrayList<>();
        for (Reach reach : reaches) {
            if (reach.attempt().equals(attempt)) servers.add(reach.server());
        }
        return servers;
    }

    private static int judge(Record record, Iterable<Reach> reaches, boolean hasTrouble) {
        List<Reach> all = new ArrayList<>();
        reaches.forEach(all::add);
        if (!hasTrouble || all.size() < 3) return 0;
        long from = all.get(2).nanos() + Rig.STABLE_WINDOW_MS * 1_000_000L;
        List<String> late = new ArrayList<>();
        for (Reach reach : all) {
            if (reach.nanos() > from && !late.contains(reach.attempt())) late.add(reach.attempt());
        }
        record.line("sent again later than " + Rig.STABLE_WINDOW_MS + " ms after the third crash, and reached servers: " + late.size()
            + " " + late + ", bound " + MAX_RETRIES);
        return late.size() > MAX_RETRIES ? 1 : 0;
    }

    private static void usual(Rig.Machine machine, AtomicBoolean isOver) {
        int number = 0;
        while (!isOver.get()) {
            Client.call(machine.outbound, "GET", "/reports/" + number % 50, "usual-" + machine.name + "-" + ++number, 2_000, new byte[0]);
            Rig.sleep(50);
        }
    }
}
