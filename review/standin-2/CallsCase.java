import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers make calls of their own while they run requests; then a configuration brings tenants. */
final class CallsCase {
    private static final String KEY = "f83fgfwrz56aw63is47q";
    private static final long CONFIG_MS = 2_000;
    private static final long CALM_MS = 3_000;
    private static final AtomicInteger requests = new AtomicInteger();
    private static final AtomicInteger denied = new AtomicInteger();
    private static final AtomicInteger bookings = new AtomicInteger();
    private static final AtomicInteger booked = new AtomicInteger();
    private static final AtomicInteger calls = new AtomicInteger();
    private static final AtomicInteger callsServed = new AtomicInteger();
    private static volatile boolean hasTenants;
    private static volatile long judgedFrom = Long.MAX_VALUE;
    private static Rig rig;

    public static void main(String[] arguments) throws IOException {
        rig = new Rig(Path.of(arguments[0]));
        rig.limit(100);
        for (int number = 0; number < 2; number++) {
            rig.add("zone-" + number, "region-" + number, "dispatch");
            rig.add("zone-" + number, "region-" + number, "parcels");
        }
        rig.store.set("op/config", configuration(2));
        for (Rig.Machine machine : rig.machines) {
            Rig.Server server = machine.startServer("i-" + machine.name);
            server.handler = machine.service.equals("dispatch") ? CallsCase::book : (own, request, out) ->
                own.ok(request, out, 40, new byte[300]);
            server.publish("ready");
        }
        for (Rig.Machine machine : rig.machines) machine.start();
        if (!rig.awaitReady(20_000)) rig.end(2, "not all daemons are ready");
        Rig.pause(4_000);

        long from = Rig.ms();
        boolean isChanged = false;
        while (Rig.ms() < from + 30_000) {
            for (Rig.Machine machine : rig.machines) rig.threads.execute(() -> client(machine));
            Rig.pause(250);
            if (isChanged || Rig.ms() < from + 5_000) continue;
            isChanged = true;
            hasTenants = Rig.TROUBLE;
            rig.store.set("op/config", configuration(3));
            rig.write("configuration r3 is acknowledged, " + (hasTenants ? "with" : "without") + " tenants");
            judgedFrom = Rig.ms() + CONFIG_MS + CALM_MS;
        }
        Rig.pause(5_000);
        rig.write("from " + (CONFIG_MS + CALM_MS) + " ms after r3: bookings " + bookings + ", of these answered with success "
            + booked + "; calls " + calls + ", of these answered with success " + callsServed);
        rig.write("requests " + requests + ", ended with a 4xx of the system's own " + denied);
        double allowed = 5 + requests.get() / 500.0;
        if (bookings.get() < 100) rig.end(2, "too few bookings were judged");
        boolean isBroken = denied.get() > allowed;
        rig.end(isBroken ? 1 : 0, denied + " proper requests were denied; " + Math.round(allowed) + " are allowed");
    }

    private static String configuration(int version) {
        String plain = Rig.configuration(version, "15000ms", List.of(
            Rig.rule("visit-booking", "unsafe", "/visit/", "dispatch", 600, 4_000),
            Rig.rule("parcel-lookup", "safe", "/parcel/", "parcels", 500, 3_000)), "dispatch", "parcels");
        if (!hasTenants) return plain;
        return plain.replaceFirst("\"base_version\"", "\"tenants\":[{\"name\":\"pulo780\",\"api_keys\":[\"" + KEY
            + "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0,\"allowed_regions\":[]}],\"base_version\"");
    }

    private static void client(Rig.Machine machine) {
        String id = rig.nextId();
        boolean isJudged = Rig.ms() >= judgedFrom;
        String key = hasTenants ? "Authorization: Token " + KEY + "\r\n" : "";
        String request = Rig.request("POST", "h.example", "/visit/" + id, id, 4_000).replaceFirst("Content-Length", key
            + "Content-Length");
        if (isJudged) bookings.incrementAndGet();
        String outcome = send(machine, "client", request, id, isJudged, 6_000);
        if (isJudged && outcome.startsWith("200")) booked.incrementAndGet();
    }

    /** Runs a booking, for which it needs an answer of the parcels service. */
    private static void book(Rig.Server server, Rig.Message request, OutputStream out) throws IOException {
        String attempt = request.header("X-Attempt-Id");
        rig.write("run " + server.id + " " + attempt + " " + request.first);
        Rig.pause(60);
        // Each call has its own id, which says nothing of the request for which it is made.
        String callId = String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
        boolean isJudged = Rig.ms() >= judgedFrom;
        if (isJudged) calls.incrementAndGet();
        String call = Rig.request("GET", "h.example", "/parcel/" + attempt, callId, 3_000);
        String outcome = send(server.machine, "server " + server.id + " for " + attempt, call, callId, isJudged, 5_000);
        boolean isServed = outcome.startsWith("200");
        if (isJudged && isServed) callsServed.incrementAndGet();
        Rig.pause(60);
        byte[] body = (isServed ? "booked" : "no parcel").getBytes(StandardCharsets.US_ASCII);
        String status = isServed ? "200 OK" : "500 Internal Server Error";
        out.write(Rig.ascii("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s-"
            + body.length + "\r\nContent-Length: " + body.length + "\r\n\r\n" + new String(body, StandardCharsets.US_ASCII)));
        rig.write("answered " + server.id + " " + attempt + " " + status);
    }

    private static String send(Rig.Machine machine, String sender, String request, String id, boolean isJudged, int limitMs) {
        String outcome;
        if (isJudged) requests.incrementAndGet();
        try {
            Rig.Message answer = Rig.exchange(machine.ip, machine.callerPort, request, limitMs);
            outcome = answer == null ? "closed" : answer.status() + " code " + answer.header("Kingcuptide-Code");
            boolean isOwn = answer != null && answer.header("X-Response-Signature") == null;
            if (isJudged && isOwn && answer.status() >= 400 && answer.status() < 500 && answer.status() != 408
                && answer.status() != 421 && answer.status() != 429) {
                denied.incrementAndGet();
            }
        } catch (IOException exception) {
            outcome = exception.toString();
        }
        rig.write(sender + " at " + machine.name + ": " + id + " " + request.substring(0, request.indexOf('\r')) + ": "
            + outcome);
        return outcome;
    }
}
