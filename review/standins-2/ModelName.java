import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Clients name a model whose name has letters outside ASCII; what the runners receive is compared with it. */
final class ModelName {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int REQUESTS = 30;
    private static final String NAME = "dob\u00f3r-\u017car\u00f3wki";
    private static final String ASCII_NAME = "dobor-zarowki";

    private PrintWriter record;
    private final long startMs = System.currentTimeMillis();

    public static void main(String[] args) {
        int result = 2;
        try {
            result = new ModelName().run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private void note(String text) {
        record.printf("%7d ms  %s%n", System.currentTimeMillis() - startMs, text);
        record.flush();
    }

    private int run(Path folder, Path recordFile, boolean trouble) throws Exception {
        List<AutoCloseable> open = new ArrayList<>();
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        // One char for each byte, as Http and Runner send and receive them.
        String model = new String(
                (trouble ? NAME : ASCII_NAME).getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        try (Store store = new Store()) {
            String address = store.listen();
            store.put("config", "main", config());
            List<Runner> runners = new ArrayList<>();
            List<String> zones = List.of("pioneer-valley", "merrimack", "narragansett");
            for (int i = 0; i < 3; i++) {
                Runner r = new Runner(store, "i-" + (i + 1), "steward-model", zones.get(i), 64, 20, 5, 4);
                runners.add(r);
                open.add(r);
            }
            List<Daemon> daemons = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Daemon d = new Daemon(folder, "edge-" + (i + 1), zones.get(i), address);
                daemons.add(d);
                open.add(d);
                d.start();
            }
            for (Daemon d : daemons) {
                d.awaitReady(20);
            }
            Thread.sleep(3_000);
            note("X-Model of the clients: " + printable(model));
            Map<String, Integer> statuses = new HashMap<>();
            for (int i = 0; i < REQUESTS; i++) {
                String id = String.format("%016x", i + 1);
                try {
                    Http.Answer a = Http.send(
                            daemons.get(i % 3).front,
                            "POST /wupu280/2f HTTP/1.1\r\nHost: kati22.example\r\nX-Attempt-Id: " + id + "\r\nX-Model: " + model
                                    + "\r\nX-Token-Counts: 1000,24\r\nX-Prompt-Prefix: 5c1e07a2:800," + id + ":200\r\n"
                                    + "X-Deadline-Ms: 5000\r\nAuthorization: Bearer n2ctnfzs989anu6w\r\nConnection: close\r\n"
                                    + "Content-Length: 2\r\n\r\n{}",
                            6_000);
                    note("request " + id + ": " + a.status());
                    statuses.merge(Integer.toString(a.status()), 1, Integer::sum);
                } catch (IOException e) {
                    note("request " + id + ": " + e);
                }
            }
            int changed = 0;
            for (Runner r : runners) {
                for (Runner.Run run : r.runs) {
                    String received = run.headers().getOrDefault("x-model", "");
                    note(r.id + " ran " + run.attempt() + " with X-Model: " + printable(received));
                    changed += received.equals(model) ? 0 : 1;
                }
            }
            note("answers by status " + statuses + "; runs with another X-Model than the client's: " + changed);
            note(changed > 0 ? "BROKEN: runners ran requests with another X-Model" : "held");
            return changed > 0 ? 1 : 0;
        } finally {
            for (AutoCloseable c : open) {
                c.close();
            }
            record.close();
        }
    }

    private static String printable(String bytes) {
        StringBuilder text = new StringBuilder("'");
        bytes.chars().forEach(c -> text.append(c < 0x7f ? Character.toString(c) : String.format("<%02x>", c)));
        return text.append('\'').toString();
    }

    private static ObjectNode config() {
        ObjectNode c = JSON.createObjectNode();
        c.put("version", 7);
        c.putArray("routes")
                .addObject()
                .put("name", "r-1")
                .put("host", "kati22.example")
                .put("path-prefix", "/wupu280/")
                .put("route-kind", "streaming")
                .put("timeout-ms", 12000)
                .put("latency-target-ms", 300)
                .put("priority", 0)
                .put("service", "steward-model")
                .put("max-attempts", 2)
                .put("public", false)
                .put("sticky", true)
                .put("resumable", true)
                .put("itl-target-ms", 250);
        ObjectNode s = c.putArray("services").addObject();
        s.put("name", "steward-model").put("health-path", "/healthz").put("max-conns", 370);
        s.putObject("engine")
                .put("slots", 64)
                .put("kv-capacity", 708113)
                .put("stride", 6)
                .putArray("models")
                .addObject()
                .put("name", NAME);
        c.putObject("limits")
                .put("max-header-bytes", 16384)
                .put("max-body-bytes", 4194304)
                .put("header-timeout-ms", 3000)
                .put("idle-timeout-ms", 15000);
        c.putArray("tenants")
                .addObject()
                .put("name", "hule930")
                .put("priority", 1)
                .put("prepay", 2_819_973)
                .putArray("api-keys")
                .add("n2ctnfzs989anu6w");
        return c;
    }
}
