import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A small deployment: the store, and machines that each have a server and a daemon, a process of its own. */
final class Rig implements AutoCloseable {
    static final String HOST = "shop.example";
    static final int CONFIG_MS = 2_000;
    static final int STABLE_WINDOW_MS = 3_000;
    private static final int BEAT_MS = 1_500;
    private static final int MAX_MACHINES = 12;
    private static final int FIRST_PEER_PORT = 20_000;
    private static final int PEER_PORTS = 10_000;
    private static final Map<String, String> REGIONS = new TreeMap<>(Map.of(
        "north-a", "north-ga", "north-b", "north-ga", "central-a", "central-ga", "central-b", "central-ga",
        "south-a", "south-ga", "south-b", "south-ga"));

    final Record record;
    final Store store;
    final List<Machine> machines = new ArrayList<>();
    private final Path directory;
    private final int subnet;
    private final boolean isRelayed;
    private final Random random = new Random();
    private final Set<Integer> peerPorts = new HashSet<>();
    private final List<Relay> relays = new ArrayList<>();
    private final int sharedPeerPort;
    private volatile boolean isClosed;

    Rig(Record record, int subnet) throws IOException {
        this(record, subnet, false);
    }

    /** With [isRelayed], the connections between machines pass relays once [relayPeers] is called. */
    Rig(Record record, int subnet, boolean isRelayed) throws IOException {
        this.record = record;
        this.subnet = subnet;
        this.isRelayed = isRelayed;
        directory = Files.createTempDirectory("review-3-");
        store = new Store("127.93." + subnet + ".250");
        sharedPeerPort = freePort("127.93." + subnet + ".1");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> machines.forEach(Machine::kill)));
        background(this::beatAll);
    }

    static void background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /**
     * Connects all machines by relays. A daemon calls the others at the port at which it listens itself, so that the port of
     * each daemon leads to the others at their addresses.
     */
    void relayPeers() throws IOException {
        for (Machine from : machines) {
            for (Machine to : machines) {
                if (from == to) continue;
                Relay relay = new Relay(to.ip, from.peerPort, new InetSocketAddress(InetAddress.getByName(to.ip), to.peerPort), from.link, to.link);
                relays.add(relay);
                from.links.add(relay);
                to.links.add(relay);
            }
        }
    }

    private static String regionsAsJson() {
        StringBuilder json = new StringBuilder("{");
        for (Map.Entry<String, String> entry : REGIONS.entrySet()) {
            if (json.length() > 1) json.append(", ");
            json.append('"').append(entry.getKey()).append("\": \"").append(entry.getValue()).append('"');
        }
        return json.append('}').toString();
    }

    /** Returns a port that is free at the addresses of all machines, outside the range from which the system picks. */
    private int freePeerPort() throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = FIRST_PEER_PORT + random.nextInt(PEER_PORTS);
            if (peerPorts.add(port) && isFree(port)) return port;
        }
        throw new IOException("no port is free at all machines");
    }

    private boolean isFree(int port) {
        for (int number = 1; number <= MAX_MACHINES; number++) {
            try {
                new ServerSocket(port, 1, InetAddress.getByName("127.93." + subnet + "." + number)).close();
            } catch (IOException taken) {
                return false;
            }
        }
        return true;
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    /** Adds a machine in [zone], whose server does the work that [workOf] names; its daemon is not started yet. */
    Machine add(String zone, String service, Function<Wire.Message, Server.Work> workOf) throws IOException {
        Machine machine = new Machine(machines.size() + 1, zone, service, workOf);
        machines.add(machine);
        machine.server.beat(store);
        return machine;
    }

    private void beatAll() {
        while (!isClosed) {
            sleep(BEAT_MS);
            for (Machine machine : List.copyOf(machines)) {
                if (machine.hasPower) machine.server.beat(store);
            }
        }
    }

    /** Waits until the daemons of all machines are ready and serve [path]; returns whether they do. */
    boolean awaitServed(String path) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        for (Machine machine : machines) {
            int number = 0;
            while (true) {
                String attempt = "warm-" + machine.name + "-" + ++number;
                if (machine.isReady() && Client.call(machine.outbound, "GET", path, attempt, 1_000, new byte[0]) == 200) break;
                if (System.nanoTime() > until) return false;
                sleep(50);
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        for (Machine machine : machines) {
            machine.kill();
            machine.server.close();
            Files.deleteIfExists(machine.settings);
            Files.deleteIfExists(machine.log);
        }
        Files.deleteIfExists(directory);
        for (Relay relay : relays) relay.close();
        store.close();
    }

    /** One machine: its server and its daemon. */
    final class Machine {
        final String name;
        final String ip;
        final Server server;
        final String outbound;
        final String readiness;
        final Path log;
        final int peerPort;
        final Link link = new Link();
        final List<Relay> links = new ArrayList<>();
        final String region;
        volatile boolean hasPower = true;
        private final Path settings;
        private Process process;
        private boolean hasStarted;

        private Machine(int number, String zone, String service, Function<Wire.Message, Server.Work> workOf)
            throws IOException {
            name = "sidecar-" + zone + "-" + (1 + machines.stream().filter(other -> other.server.zone.equals(zone)).count());
            ip = "127.93." + subnet + "." + number;
            region = REGIONS.get(zone);
            server = new Server("i-" + number, service, zone, ip, record, workOf);
            peerPort = isRelayed ? freePeerPort() : sharedPeerPort;
            outbound = ip + ":" + freePort(ip);
            readiness = ip + ":" + freePort(ip);
            log = directory.resolve(name + ".log");
            settings = directory.resolve(name + ".json");
            writeSettings(zone, service, true);
        }

        /** The fields of deploy/settings.json.template, with the bounds of the small site. */
        private void writeSettings(String zone, String service, boolean isFirstStart) throws IOException {
            Files.writeString(settings, "{\"host\": \"" + name + "\", \"ip\": \"" + ip + "\", \"failureDomain\": \"" + zone
                + "\", \"region\": \"" + REGIONS.get(zone) + "\", \"regionByFailureDomain\": " + regionsAsJson() + ", "
                + "\"service\": \"" + service + "\", \"targetAddress\": \"" + server.address() + "\", \"callerAddress\": \""
                + outbound + "\", \"readinessAddress\": \"" + readiness + "\", \"peerPort\": " + peerPort
                + ", \"sourceAddress\": \"" + store.address() + "\", \"isFirstStart\": " + isFirstStart
                + ", \"stopLimit\": \"6s\", \"coldRateFactor\": 1.5, \"coldSlack\": 5, \"retryRatio\": 0.2, "
                + "\"extraRetries\": 58, \"retryWindow\": \"10s\", \"cpuShare\": 0.6, \"cpuCores\": 1}");
        }

        /** Starts the daemon with the command of deploy/system.toml. */
        synchronized void start() throws IOException {
            if (hasStarted) writeSettings(server.zone, server.service, false);
            hasStarted = true;
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("KINGCUPTIDE_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record.line("daemon of " + name + " started");
        }

        private List<String> runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
                }
            }
            throw new IOException("no command run in deploy/system.toml");
        }

        synchronized boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Ends the daemon as SIGKILL does, and waits until it has ended. */
        synchronized void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        /** The machine loses power: nobody gets an answer from it any more, or a sign that it has ended. */
        void losePower() {
            hasPower = false;
            for (Relay link : links) {
                link.isUnreachable = true;
                link.silence();
            }
            kill();
        }

        /** The machine has power again: its server starts, and its daemon. */
        void regainPower() throws IOException {
            for (Relay link : links) link.isUnreachable = false;
            server.startAgain(store);
            hasPower = true;
            start();
        }

        /** Asks the daemon to stop, as the platform does. */
        synchronized void terminate() {
            process.destroy();
        }

        /** Returns whether the daemon reads the store, as its log says. */
        boolean readsStore() {
            String text = readLog();
            int start = Math.max(0, text.lastIndexOf("event=daemon_started"));
            return text.indexOf("event=reader_duty reads=false", start) < 0
                || text.lastIndexOf("event=reader_duty reads=true") > text.lastIndexOf("event=reader_duty reads=false");
        }

        boolean isReady() {
            try (Client client = new Client(readiness, 1_000)) {
                client.send("GET", "/ready", "r", 1_000, new byte[0]);
                Wire.Message answer = client.answer();
                return answer != null && answer.status() == 200;
            } catch (IOException failed) {
                return false;
            }
        }

        String readLog() {
            try {
                return Files.readString(log, StandardCharsets.ISO_8859_1);
            } catch (IOException failed) {
                return "";
            }
        }
    }

    /** A rule of the configuration. */
    static String rule(String name, String kind, String prefix, String service, String timeout) {
        return rule(name, kind, prefix, service, timeout, "600ms");
    }

    static String rule(String name, String kind, String prefix, String service, String timeout, String targetLatency) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"target_latency\":\"" + targetLatency + "\",\"priority\":1,"
            + "\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout\":\"" + timeout
            + "\",\"max_attempts\":2,\"allowed_regions\":[]}}";
    }

    /** A configuration with the limits that the pages show. */
    static String configuration(int version, List<String> services, List<String> rules) {
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            if (clusters.length() > 0) clusters.append(',');
            clusters.append("{\"name\":\"").append(service).append("\",\"health_check_path\":\"/health\",\"max_connections\":110,")
                .append("\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":14.0}");
        }
        return "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":\"" + HOST
            + "\",\"rules\":[" + String.join(",", rules) + "]}],\"clusters\":[" + clusters + "]}";
    }
}
