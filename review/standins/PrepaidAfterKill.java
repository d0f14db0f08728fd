import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Eight daemons spend the prepaid total of one tenant; all of them are killed at once and start again. Checks whether
 * requests that the rest of the total covers are answered 402 afterwards.
 */
final class PrepaidAfterKill {
    private static final int DAEMONS = 8;
    private static final int PER_SECOND = 50;
    private static final int BEFORE_S = 6;
    private static final int AFTER_S = 22;
    private static final int PROMPT = 800;
    private static final int MAX_OUTPUT = 100;
    private static final int PIECES = 10;
    private static final int TOKENS_PER_PIECE = 6;
    private static final long PREPAY = 900_000;
    /** A request is owed if it fits into this share of the total, counting unsettled requests at their most. */
    private static final double OWED_SHARE = 0.97;

    private static final long SETTLE_MS = 1_500;
    private static final long CONTACT_MS = 3_000;
    private static final int DENIED_BASE = 5;
    private static final int DENIED_ONE_IN = 500;
    private static final Pattern PIECE = Pattern.compile("id: \\d+\n");

    /** One request: what it may use at most, and what it used once it has ended. */
    private static final class Use {
        private long endedMs = Long.MAX_VALUE;
        private long used;
    }

    private final Record record;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, Use> uses = new TreeMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final AtomicInteger denied = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile long inTouchFromMs;

    private PrepaidAfterKill(Path folder) {
        record = new Record(folder);
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        PrepaidAfterKill test = new PrepaidAfterKill(Path.of(args[0]));
        try {
            exit = test.run();
        } catch (Exception e) {
            test.record.line("could not run: " + e);
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private int run() throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Setup.config(7, PREPAY));
        for (int i = 0; i < 6; i++) {
            Runner r = new Runner("127.0.0.1", "model-" + i, Setup.MODEL, this::stream);
            store.put("servers", r.id, r.entry("ready", 64));
        }
        try (Daemons daemons = new Daemons(store.address())) {
            List<Daemons.Daemon> all = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i++) {
                all.add(daemons.start("edge-" + i));
            }
            daemons.awaitReady(40_000);
            Thread.sleep(3_000);
            send(all, BEFORE_S);
            if (Setup.trouble()) {
                note("all " + DAEMONS + " daemons are killed; used so far " + used() + " of " + PREPAY);
                for (Daemons.Daemon d : all) {
                    d.process.destroyForcibly();
                }
                for (Daemons.Daemon d : all) {
                    d.process.waitFor();
                    d.start();
                }
                daemons.awaitReady(40_000);
            }
            inTouchFromMs = System.currentTimeMillis() + CONTACT_MS;
            Thread.sleep(CONTACT_MS);
            note("all daemons are ready and in touch");
            send(all, AFTER_S);
            Thread.sleep(SETTLE_MS + 1_000);
            note("ledger: " + store.spec("prepaid", "ledger"));
        }
        int limit = DENIED_BASE + numbers.get() / DENIED_ONE_IN;
        note("requests " + numbers + ", outcomes " + outcomes);
        note("tokens used " + used() + " of " + PREPAY);
        note("answered 402 although 97 in 100 of the total cover them: " + denied + ", allowed " + limit);
        boolean broken = denied.get() > limit;
        note("DENIED " + (broken ? "broken" : "held"));
        return broken ? 1 : 0;
    }

    private void note(String text) {
        record.line(text);
        System.out.println(text);
    }

    private void send(List<Daemons.Daemon> all, int seconds) throws InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; i < PER_SECOND * seconds; i++) {
            long leftMs = (start + i * 1_000_000_000L / PER_SECOND - System.nanoTime()) / 1_000_000;
            if (leftMs > 0) {
                Thread.sleep(leftMs);
            }
            Daemons.Daemon d = all.get(ThreadLocalRandom.current().nextInt(all.size()));
            String id = "p" + numbers.incrementAndGet();
            Thread t = new Thread(() -> request(d, id));
            t.setDaemon(true);
            t.start();
        }
        Thread.sleep(1_000);
    }

    private void stream(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("X-Attempt-Id");
        ran.add(id);
        Runner.startChunks(out, 200, Runner.echo(request, runner.id) + "Content-Type: text/event-stream\r\n");
        for (int e = 1; e <= PIECES; e++) {
            Thread.sleep(20);
            Runner.chunk(out, Setup.event(e));
        }
        Runner.endChunks(out);
        record.line(runner.id + " ran " + id);
    }

    private long used() {
        synchronized (uses) {
            return uses.values().stream().mapToLong(u -> u.used).sum();
        }
    }

    /** Returns whether the total covers one more request when those that have not settled count at their most. */
    private boolean isOwed() {
        long settled = System.currentTimeMillis() - SETTLE_MS;
        synchronized (uses) {
            long most = uses.values().stream()
                    .mapToLong(u -> u.endedMs <= settled ? u.used : PROMPT + MAX_OUTPUT)
                    .sum();
            return most + PROMPT + MAX_OUTPUT <= OWED_SHARE * PREPAY;
        }
    }

    private void request(Daemons.Daemon daemon, String id) {
        boolean owed = isOwed();
        boolean counts = inTouchFromMs > 0 && System.currentTimeMillis() >= inTouchFromMs;
        Use use = new Use();
        synchronized (uses) {
            uses.put(id, use);
        }
        String outcome;
        int pieces = 0;
        try (Client c = new Client(daemon.front, 5_000)) {
            c.send(
                    "POST",
                    "/review/x",
                    List.of(
                            "X-Attempt-Id: " + id,
                            "X-Model: m",
                            "X-Token-Counts: " + PROMPT + "," + MAX_OUTPUT,
                            "X-Prompt-Prefix: a1:300,b" + id + ":500",
                            "X-Deadline-Ms: 12000",
                            "Authorization: Bearer " + Setup.KEY),
                    Setup.bytes("{}"));
            Http.Message m = c.answer(n -> {});
            outcome = m == null ? "closed" : Integer.toString(m.status());
            Matcher matcher = PIECE.matcher(m == null ? "" : m.text());
            while (matcher.find()) {
                pieces++;
            }
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        synchronized (uses) {
            use.used = ran.contains(id) ? PROMPT + (long) TOKENS_PER_PIECE * pieces : 0;
            use.endedMs = System.currentTimeMillis();
            outcomes.merge(outcome, 1, Integer::sum);
        }
        boolean wrong = outcome.equals("402") && owed && counts;
        if (wrong) {
            denied.incrementAndGet();
        }
        record.line("client " + id + " at " + daemon.name + ": " + outcome + ", pieces " + pieces + ", ran "
                + ran.contains(id) + (wrong ? "  DENIED although covered" : ""));
    }
}
