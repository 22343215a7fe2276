import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The region whose daemons read the store loses power; right after that a configuration is acknowledged. Rule CONFIG for the
 * machines of the other regions, which nothing disturbs.
 */
final class RegionCase {
    private static final int ROUNDS = 8;
    private static final int CHANGE_AFTER_MS = 20;
    private static final int LOSS_MS = 4_500;
    private static final int PAUSE_MS = 5_000;
    private static final int MORE_PAUSE_MS = 1_500;
    private static final int PROBE_INTERVAL_MS = 30;
    private static final List<String> ZONES = List.of("north-a", "central-a", "south-a", "north-b", "central-b", "south-b");
    private static final List<String> SERVICES = List.of("stock", "orders");

    /** Losses of power keep no time with anything in the daemons. */
    private static final Random RANDOM = new Random(11);

    /** A request on a route that the change adds, or drops, with what came of it. */
    private record Probe(String machine, boolean isOnAdded, long sentNanos, int status, boolean hasRun) {
        boolean isAsBefore() {
            return isOnAdded ? status == 404 : hasRun;
        }
    }

    private RegionCase() {}

    static int run(Record record, boolean hasTrouble) throws Exception {
        try (Rig rig = new Rig(record, 32, true)) {
            rig.store.put("op/config", configuration(10));
            for (String service : SERVICES) {
                for (String zone : ZONES) rig.add(zone, service, request -> new Server.Work(20, new byte[400]));
            }
            rig.relayPeers();
            for (Rig.Machine machine : rig.machines) machine.start();
            if (!rig.awaitServed("/stock/1") || !rig.awaitServed("/orders/1")) return 2;
            Rig.sleep(PAUSE_MS);
            int late = 0;
            for (int round = 1; round <= ROUNDS; round++) late += round(rig, 10 + round, hasTrouble);
            record.line("requests later than the bound, handled as only an older version allows: " + late);
            return late > 0 ? 1 : 0;
        }
    }

    private static int round(Rig rig, int version, boolean hasTrouble) throws Exception {
        String region = regionOfReaders(rig);
        List<Rig.Machine> calm = new ArrayList<>(rig.machines);
        if (hasTrouble) {
            calm.removeIf(machine -> machine.region.equals(region));
            for (Rig.Machine machine : rig.machines) {
                if (!calm.contains(machine)) machine.losePower();
            }
            rig.record.line("region " + region + " has lost power");
            Rig.sleep(CHANGE_AFTER_MS);
        }
        rig.store.put("op/config", configuration(version));
        long acknowledgedAt = System.nanoTime();
        rig.record.line("configuration r" + version + " is acknowledged: it adds " + route(version) + " and drops " + route(version - 1));
        ConcurrentLinkedQueue<Probe> probes = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        long end = acknowledgedAt + LOSS_MS * 1_000_000L;
        for (Rig.Machine machine : calm) {
            Thread client = new Thread(() -> probe(rig.record, machine, version, end, probes));
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) client.join();
        if (hasTrouble) {
            for (Rig.Machine machine : rig.machines) {
                if (!machine.hasPower) machine.regainPower();
            }
            rig.record.line("region " + region + " has power again");
        }
        int late = 0;
        for (Rig.Machine machine : calm) late += judge(rig.record, machine.name, probes, acknowledgedAt);
        Rig.sleep(PAUSE_MS + RANDOM.nextInt(MORE_PAUSE_MS));
        return late;
    }

    private static String regionOfReaders(Rig rig) {
        Map<String, Integer> readers = new TreeMap<>();
        for (Rig.Machine machine : rig.machines) {
            if (!machine.readsStore()) continue;
            rig.record.line("  " + machine.name + " reads the store");
            readers.merge(machine.region, 1, Integer::sum);
        }
        return readers.entrySet().stream().max(Comparator.comparing(Map.Entry::getValue)).orElseThrow().getKey();
    }

    private static int judge(Record record, String machine, Iterable<Probe> probes, long acknowledgedAt) {
        int late = 0;
        int sent = 0;
        int ran = 0;
        long lastMs = 0;
        for (Probe probe : probes) {
            if (!probe.machine().equals(machine)) continue;
            sent++;
            if (!probe.isAsBefore()) continue;
            long ms = (probe.sentNanos() - acknowledgedAt) / 1_000_000;
            lastMs = Math.max(lastMs, ms);
            if (ms <= Rig.CONFIG_MS) continue;
            late++;
            if (!probe.isOnAdded()) ran++;
        }
        record.line(String.format("  %s: %d requests; last one handled as before sent %d ms after the acknowledgement; "
            + "later than %d ms: %d, of which a server ran %d on the dropped route", machine, sent, lastMs, Rig.CONFIG_MS, late, ran));
        return late;
    }

    private static void probe(Record record, Rig.Machine machine, int version, long end, ConcurrentLinkedQueue<Probe> probes) {
        int number = 0;
        while (System.nanoTime() < end) {
            boolean isOnAdded = ++number % 2 == 0;
            String path = route(isOnAdded ? version : version - 1) + "x";
            String attempt = "probe-" + version + "-" + machine.name + "-" + number;
            long sentAt = System.nanoTime();
            int status = Client.call(machine.outbound, "GET", path, attempt, 500, new byte[0]);
            probes.add(new Probe(machine.name, isOnAdded, sentAt, status, record.runsOf(attempt) > 0));
            Rig.sleep(PROBE_INTERVAL_MS);
        }
    }

    private static String route(int version) {
        return "/only-" + version + "/";
    }

    private static String configuration(int version) {
        return Rig.configuration(version, SERVICES, List.of(
            Rig.rule("r-stock", "safe", "/stock/", "stock", "1s"),
            Rig.rule("r-orders", "safe", "/orders/", "orders", "1s"),
            Rig.rule("r-only-" + version, "safe", route(version), "stock", "1s")));
    }
}
