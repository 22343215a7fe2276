import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers of one service leave and start again under their ids, one after the other. */
final class LeavingCase {
    private static final long TRAFFIC_MS = 75_000;
    private static final long DRAIN_MS = 2_000;
    private static final long DOWN_MS = 1_000;
    private static final long VISIT_WORK_MS = 1_600;
    private static final Map<String, AtomicInteger> runningAt = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws IOException {
        Rig rig = new Rig(Path.of(arguments[0]));
        rig.limit(118);
        for (int number = 0; number < 2; number++) {
            rig.add("zone-" + number, "region-" + number, "visits");
            rig.add("zone-" + number, "region-" + number, "lookups");
        }
        rig.store.set("op/config", Rig.configuration(2, "15000ms", List.of(
            Rig.rule("visit", "unsafe", "/visit/", "visits", 3000, 6000),
            Rig.rule("lookup", "safe", "/lookup/", "lookups", 600, 4000)), "visits", "lookups"));
        for (Rig.Machine machine : rig.machines) startServer(rig, machine);
        for (Rig.Machine machine : rig.machines) machine.start();
        if (!rig.awaitReady(20_000)) rig.end(2, "not all daemons are ready");
        Rig.pause(4_000);

        Map<String, AtomicInteger> sent = Map.of("visit", new AtomicInteger(), "lookup", new AtomicInteger());
        Map<String, AtomicInteger> served = Map.of("visit", new AtomicInteger(), "lookup", new AtomicInteger());
        Map<String, AtomicInteger> late = Map.of("visit", new AtomicInteger(), "lookup", new AtomicInteger());
        long from = Rig.ms();
        if (Rig.TROUBLE) rig.threads.execute(() -> restartAll(rig));
        for (int tick = 0; Rig.ms() < from + TRAFFIC_MS; tick++) {
            for (Rig.Machine machine : rig.machines) {
                if (tick % 12 == 0) client(rig, machine, "POST", "visit", sent, served, late, from);
                client(rig, machine, "GET", "lookup", sent, served, late, from);
            }
            Rig.pause(300);
        }
        Rig.pause(5_000);
        int sentVisits = sent.get("visit").get();
        int sentLookups = sent.get("lookup").get();
        double ofVisits = (double) served.get("visit").get() / sentVisits;
        double ofAll = (double) (served.get("visit").get() + served.get("lookup").get()) / (sentVisits + sentLookups);
        rig.write("visit: sent " + sentVisits + ", served " + served.get("visit") + "; served of those sent in the last 30 s: "
            + late.get("visit"));
        rig.write("lookup: sent " + sentLookups + ", served " + served.get("lookup")
            + "; served of those sent in the last 30 s: " + late.get("lookup"));
        if (served.get("lookup").get() < sentLookups * 0.9) rig.end(2, "the other kind of request was not served either");
        boolean isBroken = ofVisits < ofAll / 4;
        rig.end(isBroken ? 1 : 0, "visits were served " + (isBroken ? "" : "not ") + "less than a quarter as often as all: "
            + Math.round(ofVisits * 1000) / 10.0 + " of 100 against " + Math.round(ofAll * 1000) / 10.0);
    }

    private static void client(Rig rig, Rig.Machine machine, String method, String kind, Map<String, AtomicInteger> sent,
        Map<String, AtomicInteger> served, Map<String, AtomicInteger> late, long from) {
        rig.threads.execute(() -> {
            String id = rig.nextId();
            sent.get(kind).incrementAndGet();
            boolean isLate = Rig.ms() > from + TRAFFIC_MS - 30_000;
            String outcome;
            try {
                Rig.Message answer = machine.call(method, "h.example", "/" + kind + "/" + id, id, 6_000, 8_000);
                outcome = answer == null ? "closed" : answer.status() + " " + answer.header("Kingcuptide-Code");
                if (answer != null && answer.status() == 200 && answer.header("X-Response-Signature") != null) {
                    served.get(kind).incrementAndGet();
                    if (isLate) late.get(kind).incrementAndGet();
                }
            } catch (IOException exception) {
                outcome = exception.toString();
            }
            rig.write("client " + machine.name + " " + id + " " + kind + ": " + outcome);
        });
    }

    private static void startServer(Rig rig, Rig.Machine machine) throws IOException {
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
            startServer(rig, machine);
        } catch (IOException exception) {
            rig.end(2, "no new server: " + exception);
        }
        rig.write("server " + server.id + " has started again and is ready");
    }
}
