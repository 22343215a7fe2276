package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request crashes each server that runs it, while the server writes its answer. Its client sends it again. */
final class PoisonAnswerCase {
    private static final int HOSTS = 8;
    private static final int SENDS = 9;
    private static final long INTERVAL_MS = 4_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final byte[] BODY = "{\"parcel\":7}".getBytes(StandardCharsets.ISO_8859_1);

    private PoisonAnswerCase() {}

    static int run(Fleet fleet, boolean hasTrouble) throws Exception {
        AtomicInteger incarnations = new AtomicInteger();
        for (int i = 0; i < HOSTS; i++) {
            Host host = fleet.addHost("z-" + (char) ('a' + i % 4), "r1");
            host.server = new Server(host, incarnations, hasTrouble);
            fleet.store.put("servers/" + host.server.id, host.server.entry("ready", 1));
        }
        String rules = Fleet.rule("r-book", "unsafe", "/book/", "svc", 2_000, 2);
        fleet.store.put("op/config", Fleet.config(3, rules, "15000ms", "svc"));
        fleet.startAll(30);
        Thread.sleep(4_000);
        for (int i = 0; i < SENDS; i++) {
            try (Client client = new Client(fleet.hosts.get(i % HOSTS), 4_000)) {
                client.send("POST", "/book/visit", BODY);
            }
            Thread.sleep(INTERVAL_MS);
        }
        return judge(fleet, hasTrouble);
    }

    /** BUDGET: more than three retries reach servers, sent by machines in touch, later than 3 s after the third crash. */
    private static int judge(Fleet fleet, boolean hasTrouble) {
        List<Record.Line> crashes = new ArrayList<>();
        long answered = 0;
        for (Record.Line line : fleet.record.lines()) {
            if (line.kind().equals("crashed")) crashes.add(line);
            if (line.kind().equals("answered") && line.more().equals("200")) answered++;
        }
        System.out.println(crashes.size() + " servers crashed by the request, " + answered + " answers of 200");
        if (!hasTrouble) return answered == SENDS ? 0 : 2;
        if (crashes.isEmpty()) return 2;
        if (crashes.size() < 3) return 0;
        long third = crashes.get(2).atMs();
        long late = crashes.stream().filter(it -> it.atMs() > third + STABLE_WINDOW_MS).count();
        System.out.println(late + " retries reached servers later than 3 s after the third crash; 3 are allowed");
        return late > 3 ? 1 : 0;
    }

    private static final class Server extends CrashingServer {
        private final boolean crashes;

        Server(Host host, AtomicInteger incarnations, boolean crashes) throws IOException {
            super(host, incarnations);
            this.crashes = crashes;
        }

        @Override
        protected void run(Socket socket, Http.Message request, String attempt, String path, String echo)
            throws IOException, InterruptedException {
            if (!crashes) {
                super.run(socket, request, attempt, path, echo);
                return;
            }
            host.fleet.record.add("ran", host.name, attempt, path);
            Thread.sleep(workMs(path));
            String begun = "HTTP/1.1 200 X\r\n" + echo + "X-Response-Signature: s." + attempt + "\r\nContent-Length: 400\r\n\r\n{";
            socket.getOutputStream().write(begun.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(20);
            host.fleet.record.add("crashed", host.name, attempt, id);
            crashAndComeBack();
        }
    }
}
