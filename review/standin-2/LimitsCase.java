import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients keep their connections while a configuration raises the limits of what they may send; then they make use of it. */
final class LimitsCase {
    private static final int CLIENTS_PER_MACHINE = 6;
    private static final int SMALL_BYTES = 2_000;
    private static final int LARGE_BYTES = 2_000_000;
    private static final long LOW_LIMIT = 1_048_576;
    private static final long HIGH_LIMIT = 8_388_608;
    private static final long CONFIG_MS = 2_000;
    private static final long STABLE_MS = 3_000;
    private static final AtomicInteger requests = new AtomicInteger();
    private static final AtomicInteger denied = new AtomicInteger();
    private static final AtomicInteger large = new AtomicInteger();
    private static final AtomicInteger largeServed = new AtomicInteger();
    private static volatile long largeFrom = Long.MAX_VALUE;
    private static Rig rig;

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        rig.limit(90);
        for (int number = 0; number < 2; number++) {
            rig.add("zone-" + number, "region-" + number, "front");
            rig.add("zone-" + number, "region-" + number, "reports");
        }
        rig.store.set("op/config", configuration(2, Rig.TROUBLE ? LOW_LIMIT : HIGH_LIMIT));
        for (Rig.Machine machine : rig.machines) {
            Rig.Server server = machine.startServer("i-" + machine.name);
            server.handler = (own, request, out) -> own.ok(request, out, 50, new byte[100]);
            server.publish("ready");
        }
        for (Rig.Machine machine : rig.machines) machine.start();
        if (!rig.awaitReady(20_000)) rig.end(2, "not all daemons are ready");
        Rig.pause(4_000);

        long from = Rig.ms();
        List<Future<?>> clients = new ArrayList<>();
        for (Rig.Machine machine : rig.machines) {
            for (int number = 0; number < CLIENTS_PER_MACHINE; number++) {
                clients.add(rig.threads.submit(() -> client(machine, from + 20_000)));
            }
        }
        Rig.pause(5_000);
        rig.store.set("op/config", configuration(3, HIGH_LIMIT));
        rig.write("configuration r3 is acknowledged: max_body_bytes is " + HIGH_LIMIT);
        largeFrom = Rig.ms() + CONFIG_MS + STABLE_MS;
        for (Future<?> client : clients) client.get();
        rig.write("requests " + requests + ", ended with a 4xx of the system's own " + denied + "; with " + LARGE_BYTES
            + " bytes " + large + ", of these answered with success " + largeServed);
        double allowed = 5 + requests.get() / 500.0;
        if (large.get() < clients.size()) rig.end(2, "not all clients have sent a large request");
        boolean isBroken = denied.get() > allowed;
        rig.end(isBroken ? 1 : 0, denied + " proper requests were denied; " + Math.round(allowed) + " are allowed");
    }

    private static String configuration(int version, long maxBodyBytes) {
        return Rig.configuration(version, "15000ms", List.of(
            Rig.rule("report", "unsafe", "/report/", "reports", 2_000, 8_000)), "front", "reports")
            .replaceFirst("\"max_body_bytes\":\\d+", "\"max_body_bytes\":" + maxBodyBytes);
    }

    /** Sends a small request a second on one connection, and a large one as soon as that is allowed, at least once. */
    private static void client(Rig.Machine machine, long until) {
        boolean hasSentLarge = false;
        while (Rig.ms() < until || !hasSentLarge) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(machine.ip, machine.callerPort), 1_000);
                socket.setSoTimeout(10_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isOpen = true;
                while (isOpen && (Rig.ms() < until || !hasSentLarge)) {
                    boolean isLarge = !hasSentLarge && Rig.ms() > largeFrom;
                    hasSentLarge |= isLarge;
                    isOpen = send(machine, socket, in, isLarge ? LARGE_BYTES : SMALL_BYTES);
                    Rig.pause(1_000);
                }
            } catch (IOException exception) {
                rig.write("client at " + machine.name + ": " + exception);
                Rig.pause(500);
            }
        }
    }

    private static boolean send(Rig.Machine machine, Socket socket, InputStream in, int bytes) throws IOException {
        String id = rig.nextId();
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.write(Rig.ascii(Rig.request("POST", "h.example", "/report/" + id, id, 8_000).replaceFirst(
            "Content-Length: 0", "Content-Length: " + bytes)));
        request.write(new byte[bytes]);
        requests.incrementAndGet();
        if (bytes == LARGE_BYTES) large.incrementAndGet();
        IOException failure = null;
        try {
            socket.getOutputStream().write(request.toByteArray());
        } catch (IOException exception) {
            failure = exception;
        }
        Rig.Message answer = Rig.readHead(in);
        if (answer == null) throw new IOException("closed without an answer to " + id, failure);
        Rig.readBody(in, answer);
        boolean isOwn = answer.header("X-Response-Signature") == null;
        if (isOwn && answer.status() >= 400 && answer.status() < 500 && answer.status() != 408 && answer.status() != 421
            && answer.status() != 429) {
            denied.incrementAndGet();
        }
        if (bytes == LARGE_BYTES && answer.status() == 200) largeServed.incrementAndGet();
        rig.write("client at " + machine.name + ": " + id + ", " + bytes + " bytes: " + answer.status());
        return !"close".equalsIgnoreCase(answer.header("Connection"));
    }
}
