import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One entry daemon, started with the command of the deploy file as a process of its own. */
final class Daemon implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static int nextPort = 20_000 + new Random().nextInt(8_000);

    final String name;
    final int front;
    final int ready;
    final int directory;
    private final Path settings;
    private final Path log;
    private final List<String> command;
    private Process process;

    Daemon(Path folder, String name, String zone, String storeAddress) throws IOException {
        this.name = name;
        int[] ports = freePorts(5);
        front = ports[0];
        ready = ports[1];
        directory = ports[2];
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        ObjectNode s = JSON.createObjectNode();
        s.put("instance", name).put("availabilityZone", zone);
        s.put("callerAddress", "127.0.0.1:" + front).put("readinessAddress", "127.0.0.1:" + ready);
        s.put("directoryAddress", "127.0.0.1:" + directory).put("peerAddress", "127.0.0.1:" + ports[3]);
        s.put("peerSecret", "entry-fleet").put("metricsPort", ports[4]).put("storeAddress", storeAddress);
        s.put("storeContactMs", 3000).put("changeAdoptionMs", 2000).put("graceSeconds", 8);
        s.put("retryRatio", 0.2).put("retrySlack", 56).put("retryWindowSeconds", 10).put("addressTtlSeconds", 5);
        ObjectNode d = s.putObject("deployment");
        d.put("region", "new-england");
        ObjectNode zones = d.putObject("regionsByZone");
        List.of("pioneer-valley", "merrimack", "narragansett").forEach(z -> zones.put(z, "new-england"));
        var terms = d.putArray("terms");
        List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform")
                .forEach(terms::add);
        d.put("processorShare", 0.75).put("processorCores", 1).put("memoryMb", 430).put("linkMbps", 1000.0);
        Files.write(settings, JSON.writeValueAsBytes(s));
        command = command();
    }

    /** Reads the command of the role from the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml names no command.");
    }

    /** Returns free ports below those that the system gives to outgoing connections. */
    private static synchronized int[] freePorts(int count) {
        int[] ports = new int[count];
        for (int i = 0; i < count; nextPort++) {
            try (ServerSocket s = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
                ports[i++] = s.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        return ports;
    }

    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().put("HORNBEAMFIELD_BOOT", settings.toString());
        File out = log.toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
        process = b.start();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Sends a signal, for example KILL, TERM, STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    boolean awaitEnd(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    boolean isReady() {
        try {
            return Http.get(ready, "/readyz", 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(name + " is not ready after " + seconds + " s.");
            }
            Thread.sleep(50);
        }
    }

    List<String> logLines() throws IOException {
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
