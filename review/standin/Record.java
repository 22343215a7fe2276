package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** What was sent, answered and run, with times in milliseconds since the start. */
final class Record {
    /** One line of the record. */
    record Line(long atMs, String kind, String where, String what, String more) {}

    private final long startedAt = System.nanoTime();
    private final List<Line> lines = java.util.Collections.synchronizedList(new java.util.ArrayList<>());

    long nowMs() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    void add(String kind, String where, String what, String more) {
        lines.add(new Line(nowMs(), kind, where, what, more));
    }

    List<Line> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    void write(Path file) throws IOException {
        Files.write(
            file,
            lines().stream()
                .map(it -> it.atMs + " " + it.kind + " " + it.where + " " + it.what + " " + it.more)
                .collect(Collectors.toList()));
    }
}
