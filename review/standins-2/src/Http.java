import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** Head and body of a request or a response; header names are compared without regard to case. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** False if the message ended before its end. */
        boolean complete = true;

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers [request] on [connection]; returns false if the connection is to be closed. */
        boolean handle(Message request, Connection connection) throws Exception;
    }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16_384);
            out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Sends a response with a length. */
        void respond(int status, String reason, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason + "\r\n");
            for (int i = 0; i < headers.length; i += 2) {
                if (headers[i + 1] != null) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            write(all.toByteArray());
        }

        /** Closes the connection; a reset instead of an orderly end if [reset]. */
        void close(boolean reset) {
            try {
                if (reset) socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** A server with one thread for each connection. */
    static final class Server {
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private final ServerSocket socket;
        private final Handler handler;

        Server(InetAddress address, int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(address, port), 512);
            Util.thread(this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Stops listening and resets or closes all connections. */
        void stop(boolean reset) {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
            connections.forEach(it -> it.close(reset));
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Connection connection = new Connection(socket.accept());
                    connections.add(connection);
                    Util.thread(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try {
                while (true) {
                    Message request = read(connection.in, true);
                    if (!handler.handle(request, connection)) break;
                }
            } catch (Exception e) {
                // The peer has left, or the stand-in was stopped.
            }
            connections.remove(connection);
            connection.close(false);
        }
    }

    /** Reads one message; a response may end with its connection. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        Message message = new Message();
        message.start = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String length = message.header("Content-Length");
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                    copy(in, size, body);
                    line(in);
                }
                while (!line(in).isEmpty()) {
                    // Trailers are dropped.
                }
            } else if (length != null) {
                copy(in, Integer.parseInt(length), body);
            } else if (!isRequest) {
                in.transferTo(body);
            }
        } catch (IOException e) {
            if (isRequest) throw e;
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, int count, ByteArrayOutputStream to) throws IOException {
        for (int left = count; left > 0; ) {
            byte[] part = new byte[Math.min(left, 8_192)];
            int read = in.read(part);
            if (read < 0) throw new EOFException();
            to.write(part, 0, read);
            left -= read;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) throw new EOFException();
            if (b == '\n') break;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a new connection and reads its response. */
    static Message call(InetSocketAddress to, String method, String path, byte[] body, int timeoutMillis, List<String> headers)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout(timeoutMillis);
            Connection connection = new Connection(socket);
            connection.write(request(method, path, body, headers));
            return read(connection.in, false);
        }
    }

    static byte[] request(String method, String path, byte[] body, List<String> headers) {
        List<String> lines = new ArrayList<>(List.of(method + " " + path + " HTTP/1.1"));
        for (int i = 0; i < headers.size(); i += 2) lines.add(headers.get(i) + ": " + headers.get(i + 1));
        if (body != null) lines.add("Content-Length: " + body.length);
        byte[] head = (String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + (body == null ? 0 : body.length)];
        System.arraycopy(head, 0, all, 0, head.length);
        if (body != null) System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }
}
