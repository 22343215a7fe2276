import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers of one service leave and start again under their ids, one after the other; then a route to them is added. */
final class LeavingCase {
    private static final long TRAFFIC_MS = 60_000;
    private static final long CHANGE_MS = 22_000;
    private static final long CONFIG_MS = 2_000;
    private static final long STABLE_MS = 3_000;
    private static final long DRAIN_MS = 2_000;
    private static final long DOWN_MS = 1_000;
    private static final long COLD_MS = 3_000;
    private static final long VISIT_WORK_MS = 1_600;
    private static final Map<String, AtomicInteger> runningAt = new ConcurrentHashMap<>();
    private static final Kind VISIT = new Kind("POST", "visit");
    private static final Kind LOOKUP = new Kind("GET", "lookup");

    private static final class Kind {
        final String method;
        final String name;
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        Kind(String method, String name) {
            this.method = method;
            this.name = name;
        }
    }

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(Path.of(arguments[0]));
        rig.limit(110);
        for (int number = 0; number < 2; number++) {
            rig.add("zone-" + number, "region-" + number, "visits");
            rig.add("zone-" + number, "region-" + number, "lookups");
        }
        rig.store.set("op/config", configuration(2));
        for (Rig.Machine machine : rig.machines) startServer(rig, machine, 0);
        for (Rig.Machine machine : rig.machines) machine.start();
        if (!rig.awaitReady(20_000)) rig.end(2, "not all daemons are ready");
        Rig.pause(4_000);

        long from = Rig.ms();
        Thread restarts = new Thread(() -> {
            if (Rig.TROUBLE) restartAll(rig);
        });
        restarts.start();
        Kind added = null;
        long judgedFrom = Long.MAX_VALUE;
        for (int tick = 0; Rig.ms() < from + TRAFFIC_MS; tick++) {
            if (added == null && Rig.ms() > from + CHANGE_MS) {
                if (restarts.isAlive()) rig.end(2, "the servers were not restarted in time");
                rig.store.set("op/config", configuration(3));
                rig.write("configuration r3 is acknowledged: /change/ is added, which goes to visits");
                added = new Kind("POST", "change");
                judgedFrom = Rig.ms() + CONFIG_MS + STABLE_MS;
            }
            boolean isJudged = Rig.ms() > judgedFrom;
            for (Rig.Machine machine : rig.machines) {
                if (tick % 12 == 0) client(rig, machine, VISIT, isJudged);
                client(rig, machine, LOOKUP, isJudged);
                if (isJudged && tick % 4 == 0) client(rig, machine, added, true);
            }
            Rig.pause(300);
        }
        Rig.pause(8_000);
        int sentFirst = VISIT.sent.get() + LOOKUP.sent.get();
        int servedFirst = VISIT.served.get() + LOOKUP.served.get();
        rig.write("from " + (CONFIG_MS + STABLE_MS) + " ms after r3: on the added route sent " + added.sent + ", served "
            + added.served + "; on the first routes sent " + sentFirst + ", served " + servedFirst + " (visits: "
            + VISIT.sent + ", " + VISIT.served + ")");
        double ofAdded = (double) added.served.get() / added.sent.get();
        double ofFirst = (double) servedFirst / sentFirst;
        if (added.sent.get() < 20 || ofFirst < 0.5) rig.end(2, "too few requests were sent or served");
        boolean isBroken = ofAdded < ofFirst / 4;
        rig.end(isBroken ? 1 : 0, "requests on the added route were served " + (isBroken ? "" : "not ")
            + "less than a quarter as often as those on the first routes: " + Math.round(ofAdded * 1000) / 10.0
            + " of 100 against " + Math.round(ofFirst * 1000) / 10.0);
    }

    private static String configuration(int version) {
        List<String> rules = new ArrayList<>(List.of(
            Rig.rule("visit", "unsafe", "/visit/", "visits", 3_000, 6_000),
            Rig.rule("lookup", "safe", "/lookup/", "lookups", 600, 4_000)));
        if (version > 2) rules.add(Rig.rule("change", "unsafe", "/change/", "visits", 3_000, 6_000));
        return Rig.configuration(version, "15000ms", rules, "visits", "lookups");
    }

    private static void client(Rig rig, Rig.Machine machine, Kind kind, boolean isJudged) {
        rig.threads.execute(() -> {
            String id = rig.nextId();
            if (isJudged) kind.sent.incrementAndGet();
            String outcome;
            try {
                Rig.Message answer = machine.call(kind.method, "h.example", "/" + kind.name + "/" + id, id, 6_000, 8_000);
                outcome = answer == null ? "closed" : answer.status() + " code " + answer.header("Kingcuptide-Code");
                boolean isServed = answer != null && answer.status() == 200 && answer.header("X-Response-Signature") != null;
                if (isJudged && isServed) kind.served.incrementAndGet();
            } catch (IOException exception) {
                outcome = exception.toString();
            }
            rig.write("client at " + machine.name + ": " + id + " " + kind.name + ": " + outcome);
        });
    }

    private static void startServer(Rig rig, Rig.Machine machine, long coldMs) throws IOException {
        Rig.Server server = machine.startServer("i-" + machine.name);
        AtomicInteger running = new AtomicInteger();
        runningAt.put(server.id, running);
        server.handler = (own, request, out) -> {
            running.incrementAndGet();
            try {
                own.ok(request, out, machine.service.equals("visits") ? VISIT_WORK_MS : 40, new byte[500]);
            } finally {
                running.decrementAndGet();
            }
        };
        if (coldMs > 0) server.coldUntil = Rig.ms() + coldMs;
        server.publish("ready");
    }

    private static void restartAll(Rig rig) {
        Rig.pause(1_000);
        for (Rig.Machine machine : rig.machines) {
            if (machine.service.equals("visits")) restart(rig, machine);
        }
    }

    /** The server leaves without reporting it: its entry is removed, and it serves on for a while. */
    private static void restart(Rig rig, Rig.Machine machine) {
        Rig.Server server = machine.server;
        // It leaves while it runs one request that it has just begun, so that its next answer comes after a second or more.
        AtomicInteger running = runningAt.get(server.id);
        while (running.get() != 0) Rig.pause(1);
        while (running.get() == 0) Rig.pause(1);
        server.isLeaving = true;
        rig.store.remove("servers/" + server.id);
        rig.write("server " + server.id + " leaves, its entry is removed");
        Rig.pause(DRAIN_MS + 500);
        server.end();
        rig.write("server " + server.id + " has ended");
        Rig.pause(DOWN_MS);
        try {
            startServer(rig, machine, COLD_MS);
        } catch (IOException exception) {
            rig.end(2, "no new server: " + exception);
        }
        rig.write("server " + server.id + " has started again and is ready");
    }
}
