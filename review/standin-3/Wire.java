import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Wire {
    /** One message: its first line, its headers by lower-case name, and its body. */
    static final class Message {
        String line = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            String[] parts = line.split(" ");
            return parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        }
    }

    private Wire() {}

    /** Returns the next message, or null if the connection has ended before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) message.body = readBody(in, message);
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.line = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header: " + line);
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(InputStream in, Message message) throws IOException {
        String coding = message.header("transfer-encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) return readChunks(in);
        String length = message.header("content-length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("end within chunks");
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] chunk = readExactly(in, length);
            body.write(chunk, 0, length);
            readLine(in);
            if (length == 0) return body.toByteArray();
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("end within a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("end within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
