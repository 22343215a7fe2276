import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client to the daemon of its machine. */
final class Client implements AutoCloseable {
    final Socket socket;
    final BufferedInputStream in;
    final OutputStream out;

    Client(String address, int timeoutMs) throws IOException {
        this(address, timeoutMs, 0);
    }

    /** A client whose system buffers [receiveBufferBytes] of what it does not read, or as many as usual if 0. */
    Client(String address, int timeoutMs, int receiveBufferBytes) throws IOException {
        int colon = address.lastIndexOf(':');
        socket = new Socket();
        if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
        socket.setTcpNoDelay(true);
        InetAddress ip = InetAddress.getByName(address.substring(0, colon));
        socket.connect(new InetSocketAddress(ip, Integer.parseInt(address.substring(colon + 1))), 1_000);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream(), 8_192);
        out = socket.getOutputStream();
    }

    void send(String method, String path, String attempt, long remainingMs, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Attempt-Id: "
            + attempt + "\r\nX-Deadline-Remaining: " + remainingMs + "\r\n");
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Returns the answer, or null if the connection ends without one. */
    Wire.Message answer() throws IOException {
        return Wire.read(in);
    }

    /** Returns the status of the answer to a request on a connection of its own, or 0 if there is none. */
    static int call(String address, String method, String path, String attempt, long remainingMs, byte[] body) {
        try (Client client = new Client(address, (int) remainingMs + 1_000)) {
            client.send(method, path, attempt, remainingMs, body);
            Wire.Message answer = client.answer();
            return answer == null ? 0 : answer.status();
        } catch (IOException failed) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
