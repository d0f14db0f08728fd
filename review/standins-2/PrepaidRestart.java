import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant uses up its prepaid total. Then all daemons are killed, and the platform starts them again while its store
 * is silent. The tenant goes on sending. What the tenant consumed is compared with its prepaid total.
 */
final class PrepaidRestart {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DAEMONS = 8;
    private static final int CALLERS = 3 * DAEMONS;
    private static final long PREPAY = 400_000;
    private static final int PROMPT = 1_000;
    private static final int EVENTS = 4;
    private static final int TOKENS_PER_EVENT = 6;
    /** Time from the begin of the silence to the kill, one for each round: the start of a daemon takes about a second. */
    private static final long[] KILL_AFTER_MS = {900, 1_200, 600, 1_500};

    private static final int ROUNDS = KILL_AFTER_MS.length;
    private static final long SILENT_MS = 4_500;
    private static final long RESTART_DELAY_MS = 300;
    private static final long FIRST_PHASE_MS = 25_000;
    private static final long AFTER_RESTART_MS = 7_000;

    private final AtomicLong consumed = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unavailable = new AtomicLong();
    private final AtomicLong ids = new AtomicLong();
    private volatile boolean sending = true;
    private PrintWriter record;
    private final long startMs = System.currentTimeMillis();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try {
            result = new PrepaidRestart().run(Path.of(args[0]), Path.of(args[1]), trouble);
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
                Runner r = new Runner(store, "i-" + (i + 1), "steward-model", zones.get(i), 64, 20, 5, EVENTS);
                runners.add(r);
                open.add(r);
            }
            List<Daemon> daemons = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i++) {
                Daemon d = new Daemon(folder, "edge-" + (i + 1), zones.get(i % 3), address);
                daemons.add(d);
                open.add(d);
                d.start();
            }
            for (Daemon d : daemons) {
                d.awaitReady(20);
            }
            Thread.sleep(3_000);
            note(DAEMONS + " daemons are ready; the tenant's prepay is " + PREPAY + " tokens");
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int first = i;
                Thread t = new Thread(() -> call(daemons, first), "caller");
                t.setDaemon(true);
                t.start();
                callers.add(t);
            }
            Thread.sleep(FIRST_PHASE_MS);
            note("consumed " + consumed.get() + ", served " + served.get() + ", 402 " + refused.get() + ", other "
                    + unavailable.get() + ", ledger " + taken(store));
            long before = refused.get();
            Thread.sleep(1_000);
            if (refused.get() == before) {
                note("the tenant's total was not used up in time");
                return 2;
            }
            for (int round = 1; round <= ROUNDS && trouble; round++) {
                store.silent(true);
                note("the store is silent for " + SILENT_MS + " ms");
                long killAfterMs = KILL_AFTER_MS[round - 1];
                Thread.sleep(killAfterMs);
                for (Daemon d : daemons) {
                    d.signal("KILL");
                }
                note("all daemons are killed");
                Thread.sleep(RESTART_DELAY_MS);
                for (Daemon d : daemons) {
                    d.start();
                }
                Thread.sleep(SILENT_MS - killAfterMs - RESTART_DELAY_MS);
                store.silent(false);
                note("the store answers again");
                Thread.sleep(AFTER_RESTART_MS);
                note("consumed " + consumed.get() + ", served " + served.get() + ", 402 " + refused.get() + ", other "
                        + unavailable.get() + ", ledger " + taken(store));
            }
            if (!trouble) {
                Thread.sleep(ROUNDS * (SILENT_MS + AFTER_RESTART_MS));
            }
            sending = false;
            for (Thread t : callers) {
                t.join(4_000);
            }
            long runs = 0;
            long events = 0;
            for (Runner r : runners) {
                runs += r.runs.size();
                events += r.runs.stream().mapToInt(x -> x.eventsSent().get()).sum();
            }
            note("runners: " + runs + " runs, " + events + " events");
            note("clients: " + served.get() + " whole answers, " + consumed.get() + " tokens; prepay " + PREPAY);
            boolean broken = consumed.get() > PREPAY;
            note(broken ? "BROKEN: the tenant got " + (consumed.get() - PREPAY) + " tokens more than its prepay" : "held");
            return broken ? 1 : 0;
        } finally {
            for (AutoCloseable c : open) {
                c.close();
            }
            record.close();
        }
    }

    private static String taken(Store store) {
        return store.spec("prepaid", "ledger").path("taken").toString();
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
        s.putObject("engine").put("slots", 64).put("kv-capacity", 708113).put("stride", TOKENS_PER_EVENT);
        c.putObject("limits")
                .put("max-header-bytes", 16384)
                .put("max-body-bytes", 4194304)
                .put("header-timeout-ms", 3000)
                .put("idle-timeout-ms", 15000);
        ObjectNode t = c.putArray("tenants").addObject();
        t.put("name", "hule930").put("priority", 1).put("prepay", PREPAY).putArray("api-keys").add("n2ctnfzs989anu6w");
        return c;
    }

    /** Counts what the tenant consumed: input tokens once per request that ran, and output tokens that arrived. */
    private void call(List<Daemon> daemons, int first) {
        Random random = new Random(first);
        for (int n = first; sending; n++) {
            Daemon d = daemons.get(n % daemons.size());
            String id = String.format("%016x", ids.incrementAndGet());
            int maxTokens = EVENTS * TOKENS_PER_EVENT;
            String request = "POST /wupu280/2f HTTP/1.1\r\nHost: kati22.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Model: m\r\nX-Token-Counts: " + PROMPT + "," + maxTokens + "\r\nX-Prompt-Prefix: 5c1e07a2:800,"
                    + id + ":200\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer n2ctnfzs989anu6w\r\n"
                    + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
            long waitMs = 150 + random.nextInt(150);
            try {
                Http.Answer a = Http.send(d.front, request, 12_000);
                if (a.status() == 200) {
                    int events = new String(a.body()).split("data: ", -1).length - 1;
                    consumed.addAndGet(PROMPT + (long) events * TOKENS_PER_EVENT);
                    served.incrementAndGet();
                    note("request " + id + " to " + d.name + ": 200, " + events + " events");
                } else {
                    (a.status() == 402 ? refused : unavailable).incrementAndGet();
                    waitMs += 100;
                }
            } catch (IOException e) {
                unavailable.incrementAndGet();
                waitMs += 100;
            }
            try {
                Thread.sleep(waitMs);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
