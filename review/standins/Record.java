import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start of the script. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String event) {
        out.printf("%7d %s%n", millis(), event);
    }

    /** Writes an event to the standard output too. */
    void say(String event) {
        add(event);
        System.out.println(event);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
