import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.nio.file.Path;

/** Time, threads and the record of a case. */
final class Util {
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Util() {}

    /** Milliseconds since the start of the script, on the steady clock. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1_024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress address(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static synchronized void openRecord(Path path) throws IOException {
        record = new PrintWriter(path.toFile());
    }

    /** Adds a line with the time to the record. */
    static synchronized void record(String format, Object... arguments) {
        if (record != null) record.println(String.format("%7d ms  ", now()) + String.format(format, arguments));
    }

    static synchronized void flushRecord() {
        if (record != null) record.flush();
    }

    /** Adds a line to the record and to the standard output. */
    static synchronized void say(String format, Object... arguments) {
        record(format, arguments);
        System.out.println(String.format("%7d ms  ", now()) + String.format(format, arguments));
        if (record != null) record.flush();
    }
}
