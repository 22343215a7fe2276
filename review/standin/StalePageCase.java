package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A server leaves: its entry is removed from the store, and it goes on serving for some seconds. Right after that the daemons
 * are killed at the same moment and started again. The store answers reads that may be stale, page by page: the pages of
 * one read are of different age.
 */
final class StalePageCase {
    private static final int HOSTS = 8;
    private static final int PAGE_ITEMS = 4;
    private static final long LAG_MS = 2_500;
    private static final long DRAIN_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long SERVES_ON_MS = 12_000;
    private static volatile boolean isOver;

    private StalePageCase() {}

    static int run(Fleet fleet, boolean hasTrouble) throws Exception {
        for (int i = 0; i < HOSTS; i++) {
            Host host = fleet.addHost("z-" + (char) ('a' + i % 4), "r1");
            host.server = new AppServer(host, "svc", "i-" + (i + 1), 12);
            fleet.store.put("servers/" + host.server.id, host.server.entry("ready", 1));
        }
        Host leaving = fleet.hosts.get(HOSTS - 1);
        fleet.store.put("op/config", Fleet.config(3, Fleet.rule("r-look", "safe", "/look/", "svc", 1_500, 2), "15000ms", "svc"));
        fleet.store.pageItems = PAGE_ITEMS;
        fleet.store.staleMs = page -> page == 0 ? 0 : LAG_MS;
        Thread beats = new Thread(() -> beat(fleet, leaving));
        beats.start();
        fleet.startAll(30);
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (Host host : fleet.hosts) {
            for (int i = 0; i < 3; i++) threads.add(new Thread(() -> look(host)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(3_000);
        fleet.store.remove("servers/" + leaving.server.id);
        long removedAt = fleet.record.nowMs();
        fleet.record.add("entry_removed", leaving.name, leaving.server.id, "");
        Thread.sleep(500);
        if (hasTrouble) {
            for (Host host : fleet.hosts) host.kill();
            for (Host host : fleet.hosts) host.start(false);
        }
        Thread.sleep(removedAt + SERVES_ON_MS - fleet.record.nowMs());
        isOver = true;
        for (Thread thread : threads) thread.join(5_000);
        beats.join(2_000);
        return judge(fleet, leaving, removedAt);
    }

    /** The servers write to the store, except one whose entry has been removed. */
    private static void beat(Fleet fleet, Host leaving) {
        try {
            for (long sequence = 2; !isOver; sequence++) {
                Thread.sleep(1_500);
                for (Host host : fleet.hosts) {
                    if (host == leaving && fleet.record.lines().stream().anyMatch(it -> it.kind().equals("entry_removed"))) continue;
                    fleet.store.put("servers/" + host.server.id, host.server.entry("ready", sequence));
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void look(Host host) {
        try (Client client = new Client(host, 3_000)) {
            while (!isOver) {
                client.send("GET", "/look/parcel", null);
                Thread.sleep(30);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** DRAIN: requests reach the server later than 2 s after its removal, taken from the client by machines in touch. */
    private static int judge(Fleet fleet, Host leaving, long removedAt) {
        Map<String, Record.Line> sent = new HashMap<>();
        Map<String, Long> startedAt = new HashMap<>();
        int late = 0;
        int lateInAll = 0;
        int before = 0;
        for (Record.Line line : fleet.record.lines()) {
            if (line.kind().equals("sent")) sent.put(line.what(), line);
            if (line.kind().equals("daemon_started")) startedAt.put(line.where(), line.atMs());
            if (!line.kind().equals("ran") || !line.where().equals(leaving.name)) continue;
            Record.Line request = sent.get(line.what());
            if (line.atMs() < removedAt) before++;
            if (line.atMs() <= removedAt + DRAIN_MS) continue;
            lateInAll++;
            boolean isInTouch = request.atMs() > startedAt.get(request.where()) + STABLE_WINDOW_MS
                && line.atMs() > startedAt.get(leaving.name) + STABLE_WINDOW_MS;
            if (isInTouch) late++;
        }
        System.out.println(before + " requests at the leaving server before, " + lateInAll + " later than 2 s after, "
            + late + " of them by machines in touch");
        if (before == 0) return 2;
        return late > 0 ? 1 : 0;
    }
}
