package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that begins to run it, and its client sends it again. Meanwhile the daemons are stopped and
 * started in turn, one every few seconds.
 */
final class PoisonCase {
    private static final int HOSTS = 8;
    private static final int RESTARTS = 6;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final byte[] BODY = "{\"parcel\":7}".getBytes();

    private PoisonCase() {}

    static int run(Fleet fleet, boolean hasTrouble) throws Exception {
        AtomicInteger incarnations = new AtomicInteger();
        for (int i = 0; i < HOSTS; i++) {
            Host host = fleet.addHost("z-" + (char) ('a' + i % 4), "r1");
            host.server = new Server(host, incarnations);
            fleet.store.put("servers/" + host.server.id, host.server.entry("ready", 1));
        }
        String rules = Fleet.rule("r-book", "unsafe", "/book/", "svc", 2_000, 2) + ","
            + Fleet.rule("r-look", "safe", "/look/", "svc", 1_500, 2);
        fleet.store.put("op/config", Fleet.config(3, rules, "15000ms", "svc"));
        fleet.startAll(30);
        Thread.sleep(4_000);
        List<Host> order = fleet.hosts;
        for (int i = 0; i < 3; i++) {
            book(order.get(HOSTS - 1 - i));
            Thread.sleep(3_000);
        }
        for (int i = 0; i < RESTARTS; i++) {
            Host host = order.get(i);
            if (hasTrouble) {
                host.signal("TERM");
                for (int wait = 0; host.isAlive() && wait < 700; wait++) Thread.sleep(10);
                host.start(false);
                fleet.awaitReady(List.of(host), 15);
                Thread.sleep(Math.max(0, host.startedAtMs + STABLE_WINDOW_MS + 300 - fleet.record.nowMs()));
            } else {
                Thread.sleep(6_500);
            }
            book(host);
            Thread.sleep(300);
        }
        Thread.sleep(1_000);
        return judge(fleet);
    }

    private static void book(Host host) {
        try (Client client = new Client(host, 4_000)) {
            client.send("POST", "/book/visit", BODY);
        }
    }

    /** BUDGET: more than three retries reach servers, sent by machines in touch, later than 3 s after the third crash. */
    private static int judge(Fleet fleet) {
        List<Record.Line> crashes = new ArrayList<>();
        for (Record.Line line : fleet.record.lines()) {
            if (line.kind().equals("crashed")) crashes.add(line);
        }
        System.out.println(crashes.size() + " servers crashed by the request");
        if (crashes.size() < 2) return 2;
        if (crashes.size() < 3) return 0;
        long third = crashes.get(2).atMs();
        long late = crashes.stream().filter(it -> it.atMs() > third + STABLE_WINDOW_MS).count();
        System.out.println(late + " retries reached servers later than 3 s after the third crash; 3 are allowed");
        return late > 3 ? 1 : 0;
    }

    private static final class Server extends CrashingServer {
        Server(Host host, AtomicInteger incarnations) throws IOException {
            super(host, incarnations);
        }

        @Override
        protected void run(Socket socket, Http.Message request, String attempt, String path, String echo)
            throws IOException, InterruptedException {
            if (!path.equals("/book/visit")) {
                super.run(socket, request, attempt, path, echo);
                return;
            }
            host.fleet.record.add("ran", host.name, attempt, path);
            host.fleet.record.add("crashed", host.name, attempt, id);
            crashAndComeBack();
        }
    }
}
