import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    /** First line, headers with lower-case names, and body; {@code complete} is false if the body ended early. */
    record Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    private Http() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException(bytes.size() == 0 ? "closed" : "closed in a line");
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString();
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = line(in);
            if (line.isEmpty()) return headers;
            headers.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
        }
    }

    /** Reads one message; throws if the channel ends before its head is complete. */
    static Message read(BufferedInputStream in, boolean isAnswer) throws IOException {
        String first = line(in);
        Map<String, String> headers = headers(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                    if (size == 0) break;
                    body.write(exactly(in, size));
                    line(in);
                }
                line(in);
            } else if (headers.containsKey("content-length")) {
                body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
            } else if (isAnswer) {
                in.transferTo(body);
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Message(first, headers, body.toByteArray(), complete);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("closed in a body");
        return bytes;
    }
}
