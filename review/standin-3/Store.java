import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: keys with revisions, range reads and watches, all linearizable. */
final class Store implements AutoCloseable {
    private record Item(String value, long revision, long created) {}

    private record Event(String key, String value, long revision, long created) {}

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;

    Store(String ip) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
        Rig.background(this::acceptAll);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Stores a value; the return is the acknowledgement. */
    synchronized long put(String key, String value) {
        revision++;
        Item before = items.get(key);
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        Item item = new Item(encoded, revision, before == null ? revision : before.created());
        items.put(key, item);
        history.add(new Event(key, encoded, revision, item.created()));
        notifyAll();
        return revision;
    }

    synchronized long delete(String key) {
        revision++;
        items.remove(key);
        history.add(new Event(key, null, revision, 0));
        notifyAll();
        return revision;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Rig.background(() -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Wire.Message request = Wire.read(in);
                if (request == null) return;
                byte[] body = answer(request.line.split(" ")[1]).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: "
                    + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            return;
        }
    }

    private String answer(String target) throws InterruptedException {
        Map<String, String> query = new TreeMap<>();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                String name = equals < 0 ? pair : pair.substring(0, equals);
                String value = equals < 0 ? "" : pair.substring(equals + 1);
                query.put(name, URLDecoder.decode(value, StandardCharsets.UTF_8));
            }
        }
        String prefix = query.getOrDefault("prefix", "");
        if (path.equals("/kv-watch")) {
            long after = Long.parseLong(query.getOrDefault("after", "0"));
            return watch(prefix, after, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        return range(prefix, query.getOrDefault("after", ""));
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder json = new StringBuilder("{\"items\":[");
        boolean first = true;
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(after) <= 0) continue;
            if (!first) json.append(',');
            first = false;
            Item item = entry.getValue();
            json.append(event(new Event(entry.getKey(), item.value(), item.revision(), item.created())));
        }
        return json.append("],\"has_more\":false,\"as_of\":").append(revision).append('}').toString();
    }

    private synchronized String watch(String prefix, long after, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            StringBuilder json = new StringBuilder("{\"events\":[");
            boolean first = true;
            for (Event event : history) {
                if (event.revision() <= after || !event.key().startsWith(prefix)) continue;
                if (!first) json.append(',');
                first = false;
                json.append(event(event));
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!first || leftMs <= 0) return json.append("],\"as_of\":").append(revision).append('}').toString();
            wait(leftMs);
        }
    }

    private static String event(Event event) {
        if (event.value() == null) {
            return "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision() + ",\"tombstone\":true}";
        }
        return "{\"key\":\"" + event.key() + "\",\"value\":\"" + event.value() + "\",\"revision\":" + event.revision()
            + ",\"created\":" + event.created() + ",\"lease\":0}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
