import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read long answers at the speed of a link, each with a further safe request behind the first one, while a
 * configuration lowers the time for which a client may stay idle.
 */
final class IdleCase {
    private static final int CLIENTS = 6;
    private static final int BODY_BYTES = 10_000_000;

    /** That of a link of 8 Mbit/s. */
    private static final int BYTES_PER_SECOND = 1_000_000;
    private static final long DEADLINE_MS = 15_000;
    private static final AtomicInteger ran = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger cutLong = new AtomicInteger();
    private static final AtomicInteger cutShort = new AtomicInteger();
    private static Rig rig;

    public static void main(String[] arguments) throws IOException {
        rig = new Rig(Path.of(arguments[0]));
        rig.limit(90);
        rig.add("zone-0", "region-0", "front");
        for (int number = 0; number < 2; number++) rig.add("zone-" + number, "region-" + number, "sheets");
        rig.store.set("op/config", configuration(2, "15000ms"));
        byte[] body = new byte[BODY_BYTES];
        for (Rig.Machine machine : rig.machines) {
            Rig.Server server = machine.startServer("i-" + machine.name);
            server.handler = (own, request, out) -> {
                ran.incrementAndGet();
                own.ok(request, out, 50, request.path().startsWith("/sheet/") ? body : new byte[300]);
            };
            server.publish("ready");
        }
        for (Rig.Machine machine : rig.machines) machine.start();
        if (!rig.awaitReady(20_000)) rig.end(2, "not all daemons are ready");
        Rig.pause(4_000);

        // Clients come one after the other, so that the daemon holds a few long answers at a time.
        for (int number = 0; number < CLIENTS; number++) {
            rig.threads.execute(() -> client(rig.machines.get(0)));
            Rig.pause(500);
            if (number == 1 && Rig.TROUBLE) {
                rig.store.set("op/config", configuration(3, "2000ms"));
                rig.write("configuration r3 is acknowledged: idle_timeout is 2000ms in place of 15000ms");
            }
        }
        Rig.pause(DEADLINE_MS + 3_000);
        rig.write("requests " + 2 * CLIENTS + ", run " + ran + ", answered whole " + whole + ", first answers cut off " + cutLong
            + ", requests without any answer when the connection was closed " + cutShort);
        if (ran.get() < 2 * CLIENTS) rig.end(2, "not all requests were run");
        boolean isBroken = cutShort.get() > 3;
        rig.end(isBroken ? 1 : 0, cutShort + " requests were passed on and their connections closed without an answer; 3 are "
            + "allowed");
    }

    private static String configuration(int version, String idleTimeout) {
        return Rig.configuration(version, idleTimeout, List.of(
            Rig.rule("sheet", "download", "/sheet/", "sheets", 12_000, DEADLINE_MS),
            Rig.rule("note", "safe", "/note/", "sheets", 12_000, DEADLINE_MS)), "front", "sheets");
    }

    private static void client(Rig.Machine machine) {
        String first = rig.nextId();
        String second = rig.nextId();
        long received = 0;
        String outcome = "";
        long from = Rig.ms();
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(new InetSocketAddress(machine.ip, machine.callerPort), 1000);
            socket.setSoTimeout((int) DEADLINE_MS + 2_000);
            // A request before these two, since the connection is a kept one.
            String kept = rig.nextId();
            ran.decrementAndGet();
            socket.getOutputStream().write(Rig.ascii(Rig.request("GET", "h.example", "/note/0", kept, DEADLINE_MS)));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Rig.readBody(in, Rig.readHead(in));
            socket.getOutputStream().write(Rig.ascii(Rig.request("GET", "h.example", "/sheet/1", first, DEADLINE_MS)
                + Rig.request("GET", "h.example", "/note/1", second, DEADLINE_MS)));
            Rig.Message answer = Rig.readHead(in);
            if (answer == null) throw new IOException("closed before the first answer");
            long begun = Rig.ms();
            byte[] buffer = new byte[16 * 1024];
            while (received < answer.announced) {
                int count = in.read(buffer, 0, (int) Math.min(buffer.length, answer.announced - received));
                if (count < 0) break;
                received += count;
                Rig.pause(Math.max(0, begun + received * 1000 / BYTES_PER_SECOND - Rig.ms()));
            }
            boolean isWhole = received == answer.announced;
            outcome = answer.status() + ", " + received + " of " + answer.announced + " bytes";
            if (isWhole) whole.incrementAndGet();
            else cutLong.incrementAndGet();
            Rig.Message next = isWhole ? Rig.readHead(in) : null;
            if (next == null) {
                cutShort.incrementAndGet();
                outcome += "; second: closed without an answer";
            } else {
                Rig.readBody(in, next);
                whole.incrementAndGet();
                outcome += "; second: " + next.status();
            }
        } catch (IOException exception) {
            cutShort.incrementAndGet();
            outcome += "; " + exception + " after " + received + " bytes";
        }
        rig.write("client at " + machine.name + ": " + first + " and " + second + ": " + outcome + ", after "
            + (Rig.ms() - from) + " ms");
    }
}
