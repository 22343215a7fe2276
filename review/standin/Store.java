package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A stand-in of the platform's store: linearizable reads, reads that may be stale, watches, tombstones, eras. */
final class Store implements AutoCloseable {
    private record Change(String key, String value, long revision, long atMs) {}

    private final List<Change> changes = new ArrayList<>();
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private long revision = 100;
    private long discardedUpTo = 100;

    /** Items in one page of a range query. */
    volatile int pageItems = 500;

    /** How long ago the state is that a read with serializable=1 returns, by the number of the page (from 0). */
    volatile java.util.function.IntToLongFunction staleMs = page -> 0;

    /** Whether the store does not respond. */
    volatile boolean isSilent;

    volatile long era;

    Store(String ip, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, port), 1024);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    synchronized long put(String key, String value) {
        changes.add(new Change(key, value, ++revision, System.nanoTime() / 1_000_000));
        notifyAll();
        return revision;
    }

    synchronized long remove(String key) {
        return put(key, null);
    }

    synchronized long revision() {
        return revision;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            if (isSilent) return;
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
                int at = pair.indexOf('=');
                query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
            String path = exchange.getRequestURI().getPath();
            String body;
            int status = 200;
            if (path.equals("/kv-range")) {
                body = range(query);
            } else if (path.equals("/kv-watch")) {
                body = watch(query);
                if (body == null) status = 410;
                if (body == null) body = "{}";
            } else {
                status = 404;
                body = "{}";
            }
            if (isSilent) return;
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.getResponseHeaders().add("Store-Era", Long.toString(era));
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        boolean mayBeStale = "1".equals(query.get("serializable"));
        long now = System.nanoTime() / 1_000_000;
        long lag = mayBeStale ? staleMs.applyAsLong(after.isEmpty() ? 0 : 1) : 0;
        long asOf = 100;
        TreeMap<String, Change> state = new TreeMap<>();
        for (Change change : changes) {
            if (change.atMs > now - lag && lag > 0) break;
            asOf = change.revision;
            if (change.value == null) state.remove(change.key);
            else state.put(change.key, change);
        }
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        long bytes = 0;
        for (Change change : state.values()) {
            if (!change.key.startsWith(prefix) || change.key.compareTo(after) <= 0) continue;
            if (count == pageItems || (count > 0 && bytes + change.value.length() > 1_000_000)) {
                hasMore = true;
                break;
            }
            if (count++ > 0) items.append(',');
            bytes += change.value.length();
            items.append(json(change));
        }
        return "{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"as_of\":" + asOf + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("wait_ms"));
        if (after < discardedUpTo || after > revision) return null;
        while (true) {
            StringBuilder events = new StringBuilder();
            for (Change change : changes) {
                if (change.revision <= after || !change.key.startsWith(prefix)) continue;
                if (events.length() > 0) events.append(',');
                events.append(json(change));
            }
            long left = until - System.nanoTime() / 1_000_000;
            if (events.length() > 0 || left <= 0) return "{\"events\":[" + events + "],\"as_of\":" + revision + "}";
            wait(left);
        }
    }

    private static String json(Change change) {
        String head = "{\"key\":\"" + change.key + "\",\"revision\":" + change.revision;
        if (change.value == null) return head + ",\"tombstone\":true}";
        String value = Base64.getEncoder().encodeToString(change.value.getBytes(StandardCharsets.UTF_8));
        return head + ",\"value\":\"" + value + "\",\"created\":" + change.revision + ",\"lease\":0}";
    }
}
