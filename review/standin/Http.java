package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message: its first line, its headers with names in lower case, and its body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    private Http() {}

    /** Returns the next message, or null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                out.write(exactly(in, size));
                line(in);
            }
            line(in);
            body = out.toByteArray();
        } else if (headers.containsKey("content-length")) {
            body = exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(first, headers, body);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body ended after " + bytes.length + " of " + length);
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
        if (line.size() == 0) return null;
        throw new EOFException("line ended early");
    }
}
