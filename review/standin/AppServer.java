package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound application server: runs requests, answers health checks, and refuses what is for another instance. */
class AppServer implements AutoCloseable {
    final Host host;
    final String service;
    final int slots;
    volatile String id;
    volatile long born = System.currentTimeMillis();
    volatile long coldUntilNanos;
    final AtomicInteger running = new AtomicInteger();
    private volatile ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newCachedThreadPool();

    AppServer(Host host, String service, String id, int slots) throws IOException {
        this.host = host;
        this.service = service;
        this.id = id;
        this.slots = slots;
        listen();
    }

    void listen() throws IOException {
        ServerSocket created = new ServerSocket();
        created.setReuseAddress(true);
        created.bind(new InetSocketAddress(InetAddress.getByName(host.ip), host.fleet.ports.app()), 512);
        listener = created;
        executor.execute(() -> accept(created));
    }

    /** Ends like a process that is killed: the listener and all connections are reset. */
    void crash() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException exception) {
            // It has ended then.
        }
        sockets.clear();
        running.set(0);
    }

    String entry(String state, long sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + host.ip + ":" + host.fleet.ports.app() + "\",\"zone\":\""
            + host.zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_remaining\":\"0ms\",\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    private void accept(ServerSocket on) {
        while (!on.isClosed()) {
            try {
                Socket socket = on.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                executor.execute(() -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            while (true) {
                Http.Message request = Http.read(in);
                if (request == null) return;
                handle(socket, request);
            }
        } catch (IOException | InterruptedException exception) {
            // The connection has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private void handle(Socket socket, Http.Message request) throws IOException, InterruptedException {
        String path = request.first().split(" ")[1];
        if (path.equals("/health")) {
            long coldMs = Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
            write(socket, 200, "X-Instance-Id: " + id + "\r\nX-Cold-Start-Ms: " + coldMs + "\r\n", new byte[0]);
            return;
        }
        String attempt = request.header("x-attempt-id");
        String expected = request.header("x-expected-instance");
        String echo = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\n";
        if (expected != null && !expected.equals(id)) {
            host.fleet.record.add("rejected421", host.name, attempt, path);
            write(socket, 421, echo, new byte[0]);
            return;
        }
        running.incrementAndGet();
        try {
            run(socket, request, attempt, path, echo);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Runs the request and responds. */
    protected void run(Socket socket, Http.Message request, String attempt, String path, String echo)
        throws IOException, InterruptedException {
        host.fleet.record.add("ran", host.name, attempt, path);
        Thread.sleep(workMs(path));
        write(socket, 200, echo + "X-Response-Signature: s." + attempt + "\r\n", body(path));
    }

    protected long workMs(String path) {
        return 20;
    }

    protected byte[] body(String path) {
        return ("from " + id).getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(Socket socket, int status, String headers, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    @Override
    public void close() {
        crash();
        executor.shutdownNow();
    }
}
