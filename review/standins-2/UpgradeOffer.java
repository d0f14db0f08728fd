import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Clients send requests over HTTP/1.1 that offer another protocol in the headers of their connection, as the HTTP
 * client of the JDK does unless it is told not to. A server that does not want to change the protocol ignores the offer
 * (RFC 9110, section 7.8).
 */
final class UpgradeOffer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int REQUESTS = 24;
    private static final int GAP_MS = 250;
    private static final long ROUTE_TIMEOUT_MS = 1_500;
    private static final long LATE_MS = 500;
    private static final long DEADLINE_MS = 8_000;

    private record Sent(String id, String kind, long atMs, CompletableFuture<HttpResponse<String>> answer) {}

    private PrintWriter record;
    private final long startMs = System.currentTimeMillis();

    public static void main(String[] args) {
        int result = 2;
        try {
            result = new UpgradeOffer().run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private synchronized void note(String text) {
        record.printf("%7d ms  %s%n", System.currentTimeMillis() - startMs, text);
        record.flush();
    }

    private int run(Path folder, Path recordFile, boolean trouble) throws Exception {
        List<AutoCloseable> open = new ArrayList<>();
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        try (Store store = new Store()) {
            String address = store.listen();
            store.put("config", "main", config());
            List<String> zones = List.of("pioneer-valley", "merrimack", "narragansett");
            List<Runner> runners = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Runner r = new Runner(store, "i-" + (i + 1), "ledger-app", zones.get(i), 6, 60, 1, 1);
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
            Thread.sleep(4_000);
            note(daemons.size() + " daemons are ready; the clients " + (trouble ? "offer h2c" : "offer no other protocol"));
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                sent.add(send(daemons.get(i % daemons.size()).front, i, trouble));
                Thread.sleep(GAP_MS);
            }
            int late = 0;
            for (Sent s : sent) {
                late += check(s) ? 0 : 1;
            }
            int runs = runners.stream().mapToInt(r -> r.runs.size()).sum();
            note("requests " + REQUESTS + ", runs " + runs + ", without an answer " + (ROUTE_TIMEOUT_MS + LATE_MS)
                    + " ms after they were sent: " + late);
            boolean broken = late >= 8 && late * 4 > REQUESTS;
            note(broken ? "BROKEN: no final answer half a second after the route's timeout-ms" : "held");
            return broken ? 1 : 0;
        } finally {
            for (AutoCloseable c : open) {
                c.close();
            }
            record.close();
        }
    }

    private Sent send(int port, int number, boolean trouble) {
        String id = String.format("%016x", 1 + number);
        boolean post = number % 2 == 0;
        HttpClient client = HttpClient.newBuilder()
                .version(trouble ? HttpClient.Version.HTTP_2 : HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
        HttpRequest.Builder b = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + port + (post ? "/puxa403/2f" : "/cufi504/2f")))
                .timeout(Duration.ofMillis(DEADLINE_MS))
                .header("X-Attempt-Id", id)
                .header("X-Deadline-Ms", Long.toString(DEADLINE_MS))
                .header("Authorization", "Bearer n2ctnfzs989anu6w");
        HttpRequest request =
                (post ? b.POST(HttpRequest.BodyPublishers.ofString("{\"plot\":17}")) : b.GET()).build();
        note("request " + id + (post ? " POST" : " GET") + " is sent to port " + port);
        long atMs = System.currentTimeMillis();
        return new Sent(
                id,
                post ? "non_idempotent" : "idempotent",
                atMs,
                client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((r, f) -> note("request "
                        + id + " after " + (System.currentTimeMillis() - atMs) + " ms: "
                        + (r != null ? r.statusCode() + ", signature "
                                        + r.headers().firstValue("X-Runner-Signature").orElse("none")
                                : String.valueOf(f)))));
    }

    /** Returns whether a request had an answer half a second after its route's time. */
    private boolean check(Sent s) throws InterruptedException {
        long left = s.atMs() + ROUTE_TIMEOUT_MS + LATE_MS - System.currentTimeMillis();
        try {
            s.answer().get(Math.max(1, left), TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException | java.util.concurrent.ExecutionException e) {
            return false;
        }
    }

    private static ObjectNode config() {
        ObjectNode c = JSON.createObjectNode();
        c.put("version", 7);
        ArrayNode routes = c.putArray("routes");
        route(routes, "r-1", "/puxa403/", "non_idempotent", 1);
        route(routes, "r-2", "/cufi504/", "idempotent", 2);
        c.putArray("services").addObject().put("name", "ledger-app").put("health-path", "/healthz").put("max-conns", 110);
        c.putObject("limits")
                .put("max-header-bytes", 16384)
                .put("max-body-bytes", 4194304)
                .put("header-timeout-ms", 3000)
                .put("idle-timeout-ms", 15000);
        c.putArray("tenants").addObject().put("name", "hule930").put("priority", 1).putArray("api-keys").add("n2ctnfzs989anu6w");
        return c;
    }

    private static void route(ArrayNode routes, String name, String prefix, String kind, int attempts) {
        routes.addObject()
                .put("name", name)
                .put("host", "127.0.0.1")
                .put("path-prefix", prefix)
                .put("route-kind", kind)
                .put("timeout-ms", ROUTE_TIMEOUT_MS)
                .put("latency-target-ms", 300)
                .put("priority", 2)
                .put("service", "ledger-app")
                .put("max-attempts", attempts)
                .put("public", false)
                .put("sticky", false)
                .put("resumable", false);
    }
}
