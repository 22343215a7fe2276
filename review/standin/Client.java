package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client beside a daemon, which keeps its connection open as long as the daemon does. */
final class Client implements AutoCloseable {
    private static final AtomicLong NUMBERS = new AtomicLong();
    private final Host host;
    private final int deadlineMs;
    private Socket socket;
    private BufferedInputStream in;

    Client(Host host, int deadlineMs) {
        this.host = host;
        this.deadlineMs = deadlineMs;
    }

    static String newId() {
        return String.format("%016x", 0x9c41000000000000L + NUMBERS.incrementAndGet());
    }

    /** Sends a request; returns the status of the response, 0 if the connection closed, or -1 if the time was up. */
    int send(String method, String path, byte[] body) {
        return send(newId(), method, path, body);
    }

    int send(String id, String method, String path, byte[] body) {
        host.fleet.record.add("sent", host.name, id, method + " " + path);
        int status;
        try {
            if (socket == null) connect();
            socket.setSoTimeout(deadlineMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Remaining: " + deadlineMs + "\r\n"
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) out.write(body);
            out.flush();
            Http.Message response = Http.read(in);
            status = response == null ? 0 : response.status();
            if (response == null || "close".equalsIgnoreCase(response.header("connection"))) close();
        } catch (SocketTimeoutException exception) {
            status = -1;
            close();
        } catch (IOException exception) {
            status = 0;
            close();
        }
        host.fleet.record.add("answered", host.name, id, Integer.toString(status));
        return status;
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host.ip, host.fleet.ports.outbound()), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    @Override
    public void close() {
        if (socket == null) return;
        try {
            socket.close();
        } catch (IOException exception) {
            // It is closed then.
        }
        socket = null;
    }
}
