import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entry daemons as the deploy file does, each on a loopback address of its own. Run in the repository root. */
final class Daemons implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACE = Pattern.compile("\\{\\{([^}|]+)(\\|json)?}}");

    /** One daemon; its addresses stay the same over restarts. */
    final class Daemon {
        final String name;
        final String ip;
        final String front;
        final String ready;
        private final Path settings;
        private final File log;
        Process process;

        private Daemon(String name, String ip, Map<String, String> ports) throws IOException {
            this.name = name;
            this.ip = ip;
            this.front = ip + ":" + ports.get("front");
            this.ready = ip + ":" + ports.get("ready");
            this.settings = folder.resolve(name + ".json");
            this.log = folder.resolve(name + ".log").toFile();
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(command().split(" ")));
            ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            b.environment().put("HORNBEAMFIELD_BOOT", settings.toString());
            process = b.start();
        }

        String log() throws IOException {
            return Files.readString(log.toPath());
        }

        boolean isReady() {
            try (Client c = new Client(ready, 700)) {
                c.send("GET", "/readyz", List.of("Connection: close"), new byte[0]);
                Http.Message m = c.answer(n -> {});
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    private static final int METRICS_PORT = 19464;

    private final Path folder;
    private final String store;
    private final int net = (int) (ProcessHandle.current().pid() % 250);
    private final List<Daemon> all = new ArrayList<>();
    private boolean closed;

    Daemons(String store) throws IOException {
        this.store = store;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes the settings of a daemon from the template of the deploy file and starts it. */
    Daemon start(String name) throws IOException {
        String ip = freeIp();
        Map<String, String> ports = new TreeMap<>();
        for (String p : List.of("front", "ready", "directory", "peer")) {
            ports.put(p, Integer.toString(freePort(ip)));
        }
        Map<String, String> values = Map.ofEntries(
                Map.entry("node-name", name),
                Map.entry("zone", "zone-a"),
                Map.entry("ip", ip),
                Map.entry("listen.front", ip + ":" + ports.get("front")),
                Map.entry("listen.ready", ip + ":" + ports.get("ready")),
                Map.entry("listen.directory", ip + ":" + ports.get("directory")),
                Map.entry("port-range.0", ports.get("peer")),
                Map.entry("platform-terms.address", store),
                Map.entry("bounds.contact-ms", "3000"),
                Map.entry("bounds.config-ms", "2000"),
                Map.entry("bounds.grace-s", "8"),
                Map.entry("bounds.retry-ratio", "0.2"),
                Map.entry("bounds.retry-slack", "56"),
                Map.entry("bounds.retry-window-s", "10"),
                Map.entry("bounds.ttl_max_s", "5"));
        Daemon d = new Daemon(name, ip, ports);
        Files.writeString(d.settings, render(Files.readString(Path.of("deploy/entry.json")), values));
        all.add(d);
        d.start();
        return d;
    }

    private static String render(String template, Map<String, String> values) {
        return PLACE.matcher(template).replaceAll(m -> {
            String v = values.get(m.group(1));
            boolean number = v.matches("[0-9.]+") && v.chars().filter(c -> c == '.').count() <= 1;
            return Matcher.quoteReplacement(m.group(2) == null || number ? v : "\"" + v + "\"");
        });
    }

    private static String command() throws IOException {
        Matcher m = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!m.find()) {
            throw new IOException("deploy/system.toml names no program.");
        }
        return m.group(1);
    }

    /** Returns an address of this run that has the port of the metrics free, which the template fixes. */
    private String freeIp() {
        for (int last = 10 + all.size(); last < 250; last++) {
            String ip = "127.1." + net + "." + last;
            try (ServerSocket s = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
                if (all.stream().noneMatch(d -> d.ip.equals(ip))) {
                    return ip;
                }
            } catch (IOException e) {
                // Another run uses this address.
            }
        }
        throw new IllegalStateException("No free loopback address.");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return s.getLocalPort();
        }
    }

    /** Waits until all daemons are ready. */
    void awaitReady(long limitMs) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + limitMs;
        for (Daemon d : all) {
            while (!d.isReady()) {
                if (System.currentTimeMillis() > end) {
                    throw new IOException(d.name + " is not ready; its log: " + d.log());
                }
                Thread.sleep(50);
            }
        }
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (Daemon d : all) {
            d.process.destroyForcibly();
        }
        try {
            for (Daemon d : all) {
                d.process.waitFor(5, TimeUnit.SECONDS);
            }
            if (System.getenv("KEEP_LOGS") == null) {
                for (File f : folder.toFile().listFiles()) {
                    f.delete();
                }
                folder.toFile().delete();
            } else {
                System.err.println("logs: " + folder);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
