package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: a store, machines with servers and daemons, and the record of what happens. */
final class Fleet implements AutoCloseable {
    /** Ports, which are the same on all machines. */
    record Ports(int app, int outbound, int readiness, int inbound, int internal, int store) {}

    final Record record = new Record();
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Path recordFile;
    final String command;
    final Ports ports;
    final Store store;
    final String prefix;
    final Map<String, String> regionByZone = new LinkedHashMap<>();
    final List<Host> hosts = new ArrayList<>();
    private final String template;

    Fleet(String caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        recordFile = Path.of(caseFolder).resolve("record.txt").toAbsolutePath();
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no run command in deploy/system.toml");
        command = run.group(1);
        template = Files.readString(root.resolve("deploy/settings.json.template"));
        if (!Files.exists(root.resolve("target/platform/kingcuptided.jar"))) throw new IOException("not built");
        Random random = new Random();
        prefix = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        int base = freeBase(random);
        ports = new Ports(base, base + 1, base + 2, base + 3, base + 4, base + 40);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> hosts.forEach(Host::destroy)));
        store = new Store(prefix + "254", ports.store);
    }

    private int freeBase(Random random) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int base = 10_000 + 50 * random.nextInt(400);
            boolean isFree = true;
            for (int port = base; port < base + 41 && isFree; port++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(prefix + "253"), port));
                } catch (IOException exception) {
                    isFree = false;
                }
            }
            if (isFree) return base;
        }
        throw new IOException("no free ports");
    }

    Host addHost(String zone, String region) {
        regionByZone.put(zone, region);
        int number = hosts.size() + 1;
        Host host = new Host(this, "sidecar-" + zone + "-" + number, prefix + number, zone);
        hosts.add(host);
        return host;
    }

    /** Returns the configuration of [version], with [rules] as JSON, for all services. */
    static String config(int version, String rules, String idleTimeout, String... services) {
        StringBuilder clusters = new StringBuilder();
        for (String service : services) {
            if (clusters.length() > 0) clusters.append(',');
            clusters.append("{\"name\":\"").append(service).append("\",\"health_check_path\":\"/health\",")
                .append("\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":14.0}");
        }
        return "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            + "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"" + idleTimeout + "\"},\"base_version\":\"r" + (version - 1)
            + "\",\"listeners\":[{\"host\":\"a.example\",\"rules\":[" + rules + "]}],\"clusters\":[" + clusters + "]}";
    }

    static String rule(String name, String kind, String prefix, String service, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"target_latency\":\"600ms\",\"priority\":1,"
            + "\"match\":{\"prefix\":\"" + prefix + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout\":\""
            + timeoutMs + "ms\",\"max_attempts\":" + attempts + ",\"allowed_regions\":[]}}";
    }

    /** Fills in the template of the settings as the deploy page says. */
    String settingsOf(Host host, boolean isFirstStart) {
        StringBuilder zones = new StringBuilder("{");
        regionByZone.forEach((zone, region) ->
            zones.append(zones.length() > 1 ? "," : "").append('"').append(zone).append("\":\"").append(region).append('"'));
        Map<String, String> json = new LinkedHashMap<>();
        json.put("node_name", quoted(host.name));
        json.put("ip", quoted(host.ip));
        json.put("zone", quoted(host.zone));
        json.put("region", quoted(regionByZone.get(host.zone)));
        json.put("zones", zones + "}");
        json.put("service", quoted(host.server.service));
        json.put("app_address", quoted(host.ip + ":" + ports.app));
        json.put("listen.outbound", quoted(host.ip + ":" + ports.outbound));
        json.put("listen.readiness", quoted(host.ip + ":" + ports.readiness));
        json.put("internal_port_range.0", Integer.toString(ports.internal));
        json.put("platform.address", quoted(store.address().getAddress().getHostAddress() + ":" + ports.store));
        json.put("bootstrap", Boolean.toString(isFirstStart));
        json.put("bounds.grace", quoted("6s"));
        json.put("bounds.cold_rate_factor", "1.5");
        json.put("bounds.cold_slack", "5");
        json.put("bounds.retry_budget_ratio", "0.2");
        json.put("bounds.budget_extra_retries", "58");
        json.put("bounds.budget_window", quoted("10s"));
        json.put("limits.cpu_share", "0.6");
        json.put("limits.cpu_cores", "1");
        String text = template;
        Matcher section = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(text);
        text = section.replaceAll(it -> json.containsKey(it.group(1)) ? Matcher.quoteReplacement(it.group(2)) : "");
        Matcher field = Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}").matcher(text);
        return field.replaceAll(it -> Matcher.quoteReplacement(json.getOrDefault(it.group(1), "")));
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    /** Starts all daemons and waits until each is ready; throws if that takes more than [seconds]. */
    void startAll(int seconds) throws Exception {
        for (Host host : hosts) host.start(true);
        awaitReady(hosts, seconds);
    }

    void awaitReady(List<Host> waiting, int seconds) throws Exception {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        for (Host host : waiting) {
            while (!host.isReady()) {
                if (System.nanoTime() > until) throw new IOException(host.name + " is not ready");
                Thread.sleep(50);
            }
        }
    }

    @Override
    public void close() {
        hosts.forEach(Host::destroy);
        hosts.forEach(it -> {
            if (it.server != null) it.server.close();
        });
        store.close();
        try {
            record.write(recordFile);
        } catch (IOException exception) {
            System.err.println(exception);
        }
        String keep = System.getenv("REVIEW_KEEP_LOGS");
        if (keep == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
            } catch (IOException exception) {
                System.err.println(exception);
            }
        } else {
            System.err.println("logs: " + folder);
        }
    }
}
