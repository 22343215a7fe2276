package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One machine: an address, an application server and the daemon beside it, which is a process of its own. */
final class Host {
    final Fleet fleet;
    final String name;
    final String ip;
    final String zone;
    AppServer server;
    private Process process;
    volatile long startedAtMs;

    Host(Fleet fleet, String name, String ip, String zone) {
        this.fleet = fleet;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
    }

    /** Starts the daemon with the command of the deploy file. */
    void start(boolean isFirstStart) throws IOException {
        Path settings = fleet.folder.resolve(name + ".json");
        Files.writeString(settings, fleet.settingsOf(this, isFirstStart));
        File log = fleet.folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(List.of(fleet.command.split(" ")));
        builder.directory(fleet.root.toFile());
        builder.environment().put("KINGCUPTIDE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        startedAtMs = fleet.record.nowMs();
        fleet.record.add("daemon_started", name, Long.toString(process.pid()), "");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal, such as TERM, STOP or CONT, to the daemon. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        fleet.record.add("signal_" + signal, name, "", "");
    }

    /** Kills the daemon and waits until it has ended. */
    void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        fleet.record.add("daemon_killed", name, "", "");
    }

    void destroy() {
        if (process != null) process.destroyForcibly();
    }

    /** Returns whether the daemon answers the readiness question with 200. */
    boolean isReady() {
        return get(fleet.ports.readiness(), "/ready", "Host: r\r\n", 1_000) == 200;
    }

    String metrics() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, fleet.ports.readiness()), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return new String(Http.read(socket.getInputStream()).body(), StandardCharsets.UTF_8);
        } catch (IOException | RuntimeException exception) {
            return "";
        }
    }

    private int get(int port, String path, String headers, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            String request = "GET " + path + " HTTP/1.1\r\n" + headers + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(socket.getInputStream());
            return response == null ? 0 : response.status();
        } catch (IOException | RuntimeException exception) {
            return 0;
        }
    }
}
