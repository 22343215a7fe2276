import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Long> firstRunNanos = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    }

    void ran(String attempt) {
        runs.merge(attempt, 1, Integer::sum);
        firstRunNanos.putIfAbsent(attempt, System.nanoTime());
    }

    /** Returns when a server has begun to work on [attempt], or null if none has. */
    Long ranAtNanos(String attempt) {
        return firstRunNanos.get(attempt);
    }

    int runsOf(String attempt) {
        return runs.getOrDefault(attempt, 0);
    }

    @Override
    public void close() {
        out.close();
    }
}
