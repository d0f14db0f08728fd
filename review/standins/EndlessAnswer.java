import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.List;

/**
 * One of six model runners sends line ends without end in the bodies of its answers, until the caller closes. The other
 * runners of the model and all runners of the plain service are sound. Checks how requests to the plain service are
 * answered.
 */
final class EndlessAnswer {
    /** One of eight instances gets an eighth of the 57.6 streams and the 20.2 calls a second of the sheet. */
    private static final int STREAMS_PER_SECOND = 7;

    private static final int LOOKUPS_PER_SECOND = 3;
    private static final int WARM_UP_S = 5;
    private static final int TROUBLE_S = 10;
    private static final int AFTER_S = 15;
    private static final String SICK = "model-0";
    /** 3.2 MB a second, a fortieth of the link of a machine. */
    private static final int PART_BYTES = 64 * 1024;

    private static final int PART_MS = 20;
    private static final int SESSIONS = 225;
    /** Clients leave a stream after a gap of two seconds, and at their deadline. */
    private static final int STREAM_PATIENCE_MS = 2_000;

    private static final int STREAM_DEADLINE_MS = 12_000;
    private static final int ROUTE_TIMEOUT_MS = 1_500;
    private static final int LATE_MS = 500;
    private static final int LOOKUP_DEADLINE_MS = 3_000;
    /** With fewer requests that are unanswered at their timeout, the share of them says nothing. */
    private static final int MIN_UNANSWERED = 10;

    private final Record record;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> outcomes = new TreeMap<>();
    private final AtomicInteger endless = new AtomicInteger();
    private final AtomicInteger openAtTimeout = new AtomicInteger();
    private final AtomicInteger openAfterwards = new AtomicInteger();
    private volatile boolean trouble;

    private EndlessAnswer(Path folder) {
        record = new Record(folder);
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        EndlessAnswer test = new EndlessAnswer(Path.of(args[0]));
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
        store.put("config", "main", Setup.config(7, 1_000_000_000L));
        for (int i = 0; i < 6; i++) {
            Runner r = new Runner("127.0.0.1", "model-" + i, Setup.MODEL, this::stream);
            store.put("servers", r.id, r.entry("ready", 64));
        }
        for (int i = 0; i < 3; i++) {
            Runner r = new Runner("127.0.0.1", "plain-" + i, Setup.PLAIN, this::call);
            store.put("servers", r.id, r.entry("ready", 6));
        }
        try (Daemons daemons = new Daemons(store.address())) {
            Daemons.Daemon daemon = daemons.start("edge-1");
            daemons.awaitReady(30_000);
            Thread.sleep(1_500);
            Thread calls = start(() -> pace(LOOKUPS_PER_SECOND, i -> lookup(daemon, "c" + i)));
            Thread streams = start(() -> pace(STREAMS_PER_SECOND, i -> question(daemon, "q" + i)));
            Thread.sleep(WARM_UP_S * 1_000L);
            trouble = Setup.trouble();
            record.line("trouble begins: " + trouble);
            Thread.sleep(TROUBLE_S * 1_000L);
            trouble = false;
            record.line("trouble ends: " + SICK + " gives whole answers to requests that reach it from now on");
            calls.join();
            streams.join();
            Thread.sleep(LOOKUP_DEADLINE_MS + 500);
            note("process alive " + daemon.process.isAlive() + ", ready " + daemon.isReady());
        }
        note("answers without end " + endless + "; lookups " + outcomes);
        note("lookups unanswered at the route's timeout " + openAtTimeout + ", of these without an answer half a second later "
                + openAfterwards);
        boolean broken = openAtTimeout.get() >= MIN_UNANSWERED && openAfterwards.get() * 2 > openAtTimeout.get();
        note("CONFIG " + (broken ? "broken" : "held"));
        return broken ? 1 : 0;
    }

    private void note(String text) {
        record.line(text);
        System.out.println(text);
    }

    private static Thread start(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private interface Numbered {
        void run(int number);
    }

    private static void pace(int perSecond, Numbered work) {
        long start = System.nanoTime();
        try {
            for (int i = 0; i < perSecond * (WARM_UP_S + TROUBLE_S + AFTER_S); i++) {
                long leftMs = (start + i * 1_000_000_000L / perSecond - System.nanoTime()) / 1_000_000;
                if (leftMs > 0) {
                    Thread.sleep(leftMs);
                }
                int number = i;
                start(() -> work.run(number));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stream(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("X-Attempt-Id");
        Runner.startChunks(out, 200, Runner.echo(request, runner.id) + "Content-Type: text/event-stream\r\n");
        if (trouble && runner.id.equals(SICK)) {
            endless.incrementAndGet();
            record.line(runner.id + " answers " + id + " without end");
            String part = "\n".repeat(PART_BYTES);
            while (true) {
                Runner.chunk(out, part);
                Thread.sleep(PART_MS);
            }
        }
        for (int e = 1; e <= 49; e++) {
            Thread.sleep(30);
            Runner.chunk(out, Setup.event(e));
        }
        Runner.endChunks(out);
        record.line(runner.id + " ran " + id);
    }

    private void call(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("X-Attempt-Id");
        ran.add(id);
        Thread.sleep(60);
        Runner.send(out, 200, Runner.echo(request, runner.id), "record of " + id);
        record.line(runner.id + " ran " + id);
    }

    private static long since(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void question(Daemons.Daemon daemon, String id) {
        long start = System.nanoTime();
        String outcome;
        try (Client c = new Client(daemon.front, STREAM_PATIENCE_MS)) {
            int session = ThreadLocalRandom.current().nextInt(SESSIONS);
            c.send(
                    "POST",
                    "/question/x",
                    List.of(
                            "X-Attempt-Id: " + id,
                            "X-Model: m",
                            "X-Token-Counts: 628,294",
                            "X-Prompt-Prefix: a" + session % 8 + ":119,5" + session + ":79,b" + id.substring(1) + ":430",
                            "X-Deadline-Ms: " + STREAM_DEADLINE_MS,
                            "Authorization: Bearer " + Setup.KEY),
                    Setup.bytes("{}"));
            Http.Message m = c.answer(n -> {
                if (since(start) > STREAM_DEADLINE_MS) {
                    throw new IllegalStateException("the client left at its deadline");
                }
            });
            outcome = m == null ? "closed" : m.status() + (m.complete ? "" : " " + m.broken);
        } catch (IOException | IllegalStateException e) {
            outcome = e.getMessage();
        }
        record.line("client " + id + ": " + outcome + " after " + since(start) + " ms");
    }

    private void lookup(Daemons.Daemon daemon, String id) {
        long start = System.nanoTime();
        String outcome;
        boolean answered = false;
        try (Client c = new Client(daemon.front, LOOKUP_DEADLINE_MS)) {
            c.send(
                    "GET",
                    "/lookup/x",
                    List.of(
                            "X-Attempt-Id: " + id,
                            "X-Deadline-Ms: " + LOOKUP_DEADLINE_MS,
                            "Authorization: Bearer " + Setup.KEY),
                    Setup.NONE);
            Http.Message m = c.answer(n -> {});
            answered = m != null && m.complete;
            outcome = m == null ? "closed" : answered ? Integer.toString(m.status()) : m.broken;
        } catch (IOException e) {
            outcome = e.toString();
        }
        long ms = since(start);
        record.line("client " + id + ": " + outcome + " after " + ms + " ms, ran " + ran.contains(id));
        synchronized (outcomes) {
            outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
        }
        if (ms > ROUTE_TIMEOUT_MS) {
            openAtTimeout.incrementAndGet();
            if (!answered || ms > ROUTE_TIMEOUT_MS + LATE_MS) {
                openAfterwards.incrementAndGet();
            }
        }
    }
}
