package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that is back two seconds after a crash, as a new incarnation with a new id. */
class CrashingServer extends AppServer {
    private static final long DOWN_MS = 2_000;
    private static final long COLD_NANOS = 3_000_000_000L;
    private final AtomicInteger incarnations;

    CrashingServer(Host host, AtomicInteger incarnations) throws IOException {
        super(host, "svc", "i-" + incarnations.incrementAndGet(), 12);
        this.incarnations = incarnations;
    }

    void crashAndComeBack() {
        String ended = id;
        new Thread(() -> comeBack(ended)).start();
        crash();
    }

    private void comeBack(String ended) {
        try {
            Thread.sleep(DOWN_MS);
            id = "i-" + incarnations.incrementAndGet();
            born = System.currentTimeMillis();
            coldUntilNanos = System.nanoTime() + COLD_NANOS;
            listen();
            host.fleet.store.remove("servers/" + ended);
            host.fleet.store.put("servers/" + id, entry("ready", 1));
        } catch (InterruptedException | IOException exception) {
            host.fleet.record.add("server_not_back", host.name, "" + exception, "");
        }
    }
}
