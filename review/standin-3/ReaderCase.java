import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients whose links are slow for a time download long responses and read all the while. Rule LOST, at any time. */
final class ReaderCase {
    private static final int ROUNDS = 2;
    private static final int RESPONSE_BYTES = 12_000_000;
    private static final int START_GAP_MS = 1_500;
    private static final int SLOW_MS = 18_000;
    private static final int SLOW_STEP_MS = 100;
    private static final int SLOW_STEP_BYTES = 25_000;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int CLIENT_WAITS_MS = 60_000;
    private static final int MAX_CUT = 3;

    private record Download(String attempt, int status, int bytes, long tookMs) {
        boolean isCut() {
            return bytes < RESPONSE_BYTES;
        }
    }

    private ReaderCase() {}

    static int run(Record record, boolean hasTrouble) throws Exception {
        try (Rig rig = new Rig(record, 36)) {
            rig.store.put("op/config", Rig.configuration(3, List.of("sheets", "stock"), List.of(
                Rig.rule("r-sheets", "download", "/sheets/", "sheets", "60s", "20s"),
                Rig.rule("r-warm", "safe", "/warm/", "sheets", "2s"),
                Rig.rule("r-stock", "safe", "/stock/", "stock", "2s"))));
            byte[] sheet = new byte[RESPONSE_BYTES];
            rig.add("north-a", "sheets", request -> new Server.Work(20, request.line.contains("/sheets/") ? sheet : new byte[400]));
            for (String zone : List.of("north-b", "central-a", "central-b")) {
                rig.add(zone, "stock", request -> new Server.Work(20, new byte[400]));
            }
            for (Rig.Machine machine : rig.machines) machine.start();
            if (!rig.awaitServed("/stock/1") || !rig.awaitServed("/warm/1")) return 2;
            Rig.sleep(4_000);
            ConcurrentLinkedQueue<Download> downloads = new ConcurrentLinkedQueue<>();
            for (int round = 1; round <= ROUNDS; round++) round(rig, round, hasTrouble, downloads);
            int cut = 0;
            for (Download download : downloads) {
                record.line(download.attempt() + ": status " + download.status() + ", " + download.bytes() + " of " + RESPONSE_BYTES
                    + " bytes of the body after " + download.tookMs() + " ms, runs " + record.runsOf(download.attempt()));
                if (download.isCut() && record.runsOf(download.attempt()) > 0) cut++;
            }
            record.line("requests that were passed on to the server and whose connection the daemon closed without a whole answer: "
                + cut + ", bound " + MAX_CUT);
            return cut > MAX_CUT ? 1 : 0;
        }
    }

    private static void round(Rig rig, int round, boolean hasTrouble, ConcurrentLinkedQueue<Download> downloads) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (Rig.Machine machine : rig.machines.subList(1, rig.machines.size())) {
            String attempt = "sheet-" + round + "-" + machine.name;
            Thread client = new Thread(() -> downloads.add(download(machine, attempt, hasTrouble)));
            client.setDaemon(true);
            client.start();
            clients.add(client);
            rig.record.line(attempt + " is sent");
            Rig.sleep(START_GAP_MS);
        }
        for (Thread client : clients) client.join();
    }

    private static Download download(Rig.Machine machine, String attempt, boolean isSlow) {
        long sentAt = System.nanoTime();
        int status = 0;
        int count = 0;
        try (Client client = new Client(machine.outbound, CLIENT_WAITS_MS, RECEIVE_BUFFER_BYTES)) {
            client.send("GET", "/stock/x", attempt + "-first", 2_000, new byte[0]);
            client.answer();
            client.send("GET", "/sheets/x", attempt, CLIENT_WAITS_MS, new byte[0]);
            Wire.Message head = Wire.readHead(client.in);
            if (head == null) return new Download(attempt, 0, 0, elapsedMs(sentAt));
            status = head.status();
            byte[] buffer = new byte[SLOW_STEP_BYTES];
            int length = Integer.parseInt(head.header("Content-Length"));
            while (count < length) {
                int read = client.in.read(buffer, 0, Math.min(buffer.length, length - count));
                if (read < 0) break;
                count += read;
                if (isSlow && elapsedMs(sentAt) < SLOW_MS) Rig.sleep(SLOW_STEP_MS);
            }
        } catch (IOException ended) {
            return new Download(attempt, status, count, elapsedMs(sentAt));
        }
        return new Download(attempt, status, count, elapsedMs(sentAt));
    }

    private static long elapsedMs(long since) {
        return (System.nanoTime() - since) / 1_000_000;
    }
}
