import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers pass between machines over links of 7 Mbit/s, on a route that is added. Rule CONFIG, steady state. */
final class LinkCase {
    private static final int LINK_BYTES_PER_SECOND = 7_700_000 / 8;
    private static final int RESPONSE_BYTES = 540_000;
    private static final int ROUNDS = 5;
    private static final int SERVERS = 7;
    private static final int DOWNLOADS_AT_ONCE = 12;
    private static final int ROUND_MS = 12_000;
    private static final int FIRST_ROUTE_REQUESTS = 30;
    private static final int CLIENT_WAITS_MS = 15_000;
    private static final int MIN_REQUESTS = 20;

    /** `config` and `stable_window` of the site with such links and routes. */
    private static final int SETTLING_MS = 3_000 + 4_000;

    private LinkCase() {}

    static int run(Record record, boolean hasTrouble) throws Exception {
        try (Rig rig = new Rig(record, 38, true)) {
            rig.store.put("op/config", configuration(3, false));
            byte[] sheet = new byte[RESPONSE_BYTES];
            rig.add("north-a", "stock", request -> new Server.Work(20, new byte[400]));
            for (int number = 0; number < SERVERS; number++) {
                rig.add("north-b", "sheets", request -> new Server.Work(80, request.line.contains("/sheets/") ? sheet : new byte[400]));
            }
            rig.relayPeers();
            for (Rig.Machine machine : rig.machines) machine.start();
            if (!rig.awaitServed("/stock/1") || !rig.awaitServed("/names/1")) return 2;
            if (hasTrouble) {
                rig.machines.get(0).link.limit(LINK_BYTES_PER_SECOND);
                record.line("the link of " + rig.machines.get(0).name + " passes 7.7 Mbit/s from now on");
            }
            Rig.sleep(4_000);
            rig.store.put("op/config", configuration(4, true));
            record.line("configuration r4 is acknowledged; it adds /sheets/");
            Rig.sleep(SETTLING_MS);
            AtomicInteger served = new AtomicInteger();
            AtomicInteger asked = new AtomicInteger();
            AtomicInteger servedFirst = new AtomicInteger();
            AtomicInteger askedFirst = new AtomicInteger();
            Rig.Machine machine = rig.machines.get(0);
            Thread first = start(() -> firstRoute(machine, askedFirst, servedFirst));
            for (int round = 1; round <= ROUNDS; round++) {
                int number = round;
                List<Thread> clients = new ArrayList<>();
                for (int client = 1; client <= DOWNLOADS_AT_ONCE; client++) {
                    String attempt = "sheet-" + number + "-" + client;
                    clients.add(start(() -> download(record, machine, attempt, asked, served)));
                }
                long end = System.nanoTime() + ROUND_MS * 1_000_000L;
                for (Thread client : clients) client.join();
                Rig.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000));
            }
            first.join();
            double share = served.get() / (double) asked.get();
            double shareFirst = servedFirst.get() / (double) askedFirst.get();
            record.line(String.format("added route: %d of %d served; first routes: %d of %d", served.get(), asked.get(),
                servedFirst.get(), askedFirst.get()));
            return asked.get() >= MIN_REQUESTS && share < shareFirst / 4 ? 1 : 0;
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void download(Record record, Rig.Machine machine, String attempt, AtomicInteger asked, AtomicInteger served) {
        long sentAt = System.nanoTime();
        int status = 0;
        int bytes = 0;
        try (Client client = new Client(machine.outbound, CLIENT_WAITS_MS)) {
            client.send("GET", "/sheets/x", attempt, CLIENT_WAITS_MS, new byte[0]);
            Wire.Message answer = client.answer();
            if (answer != null) {
                status = answer.status();
                bytes = answer.body.length;
            }
        } catch (IOException ended) {
            status = 0;
        }
        asked.incrementAndGet();
        if (status == 200 && bytes == RESPONSE_BYTES) served.incrementAndGet();
        record.line(attempt + ": answer " + status + " with " + bytes + " bytes after "
            + (System.nanoTime() - sentAt) / 1_000_000 + " ms, runs " + record.runsOf(attempt));
    }

    private static void firstRoute(Rig.Machine machine, AtomicInteger asked, AtomicInteger served) {
        for (int number = 1; number <= FIRST_ROUTE_REQUESTS; number++) {
            String attempt = "stock-" + machine.name + "-" + number;
            int status = Client.call(machine.outbound, "GET", "/stock/x", attempt, 2_000, new byte[0]);
            asked.incrementAndGet();
            if (status == 200) served.incrementAndGet();
            Rig.sleep(500);
        }
    }

    private static String configuration(int version, boolean hasSheets) {
        List<String> rules = new ArrayList<>();
        rules.add(Rig.rule("r-stock", "safe", "/stock/", "stock", "2s"));
        rules.add(Rig.rule("r-names", "safe", "/names/", "sheets", "2s"));
        if (hasSheets) rules.add(Rig.rule("r-sheets", "download", "/sheets/", "sheets", "15s", "2500ms"));
        return Rig.configuration(version, List.of("sheets", "stock"), rules);
    }
}
