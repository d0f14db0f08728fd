import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One of three runners of a service fails a part of its requests after it has run them. It answers 503 without
 * {@code X-Not-Executed}, so that its answer does not state that the request was not run. The client repeats a request
 * that was not idempotent only after a promise that it has not run.
 */
final class FailureAfterRun {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int POSTINGS = 150;
    private static final int FAIL_PERCENT = 40;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private PrintWriter record;
    private final long startMs = System.currentTimeMillis();

    public static void main(String[] args) {
        int result = 2;
        try {
            result = new FailureAfterRun().run(Path.of(args[0]), Path.of(args[1]), !"0".equals(System.getenv("TROUBLE")));
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
            note(daemons.size() + " daemons are ready");
            if (trouble) {
                runners.get(0).failStatus = 503;
                runners.get(0).failPercent = FAIL_PERCENT;
                note("runner i-1 fails " + FAIL_PERCENT + " of 100 requests after it has run them");
            }
            Map<String, Http.Answer> answers = new HashMap<>();
            Map<String, List<String>> attemptsOfPosting = new HashMap<>();
            for (int i = 0; i < POSTINGS; i++) {
                String posting = "fee-" + i;
                List<String> attempts = new ArrayList<>();
                attemptsOfPosting.put(posting, attempts);
                Http.Answer a = post(daemons.get(i % 3).front, posting, attempts, answers);
                if (a != null && PROMISES.contains(a.status())) {
                    post(daemons.get((i + 1) % 3).front, posting, attempts, answers);
                }
            }
            return judge(runners, answers, attemptsOfPosting);
        } finally {
            for (AutoCloseable c : open) {
                c.close();
            }
            record.close();
        }
    }

    private Http.Answer post(int port, String posting, List<String> attempts, Map<String, Http.Answer> answers) {
        String id = String.format("%012x%04x", posting.hashCode(), attempts.size());
        attempts.add(id);
        String body = "{\"posting\":\"" + posting + "\"}";
        try {
            Http.Answer a = Http.send(
                    port,
                    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer n2ctnfzs989anu6w\r\nConnection: close\r\n"
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body,
                    4_000);
            answers.put(id, a);
            note(posting + ", request " + id + ": " + a.status() + ", signature "
                    + (a.header("X-Runner-Signature").isEmpty() ? "none" : a.header("X-Runner-Signature")));
            return a;
        } catch (IOException e) {
            note(posting + ", request " + id + ": " + e);
            return null;
        }
    }

    private int judge(List<Runner> runners, Map<String, Http.Answer> answers, Map<String, List<String>> attempts) {
        Set<String> ran = new HashSet<>();
        runners.forEach(r -> r.runs.forEach(x -> ran.add(x.attempt())));
        long falsePromises = answers.entrySet().stream()
                .filter(e -> PROMISES.contains(e.getValue().status()) && ran.contains(e.getKey()))
                .count();
        long twice = attempts.values().stream()
                .filter(ids -> ids.stream().filter(ran::contains).count() > 1)
                .count();
        note("requests " + answers.size() + ", run " + ran.size() + ", answered as not run although they ran "
                + falsePromises + ", fees posted twice by clients that trusted it " + twice);
        note(falsePromises > 0 ? "BROKEN: 503 for a request that is not idempotent and has run" : "held");
        return falsePromises > 0 ? 1 : 0;
    }

    private static ObjectNode config() {
        ObjectNode c = JSON.createObjectNode();
        c.put("version", 7);
        c.putArray("routes")
                .addObject()
                .put("name", "r-1")
                .put("host", "ficu95.example")
                .put("path-prefix", "/puxa403/")
                .put("route-kind", "non_idempotent")
                .put("timeout-ms", 1500)
                .put("latency-target-ms", 300)
                .put("priority", 2)
                .put("service", "ledger-app")
                .put("max-attempts", 1)
                .put("public", false)
                .put("sticky", false)
                .put("resumable", false);
        c.putArray("services").addObject().put("name", "ledger-app").put("health-path", "/healthz").put("max-conns", 110);
        c.putObject("limits")
                .put("max-header-bytes", 16384)
                .put("max-body-bytes", 4194304)
                .put("header-timeout-ms", 3000)
                .put("idle-timeout-ms", 15000);
        c.putArray("tenants").addObject().put("name", "hule930").put("priority", 1).putArray("api-keys").add("n2ctnfzs989anu6w");
        return c;
    }
}
