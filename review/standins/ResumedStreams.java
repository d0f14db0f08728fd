import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Streams that may be resumed, six runners of which one crashes and one answers a part of its requests with its own
 * 500. Checks that no stream ends as complete before its last piece.
 */
final class ResumedStreams {
    private static final int PIECES = 49;
    private static final int PIECE_MS = 40;
    private static final int STREAMS_PER_ROUND = 100;
    private static final int ROUNDS = 4;
    private static final int FAILING_OF_TEN = 4;
    private static final Pattern ID = Pattern.compile("id: (\\d+)\n");

    private final Record record;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger requestsAtGrey = new AtomicInteger();
    private final AtomicInteger violations = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private volatile String grey = "";

    private ResumedStreams(Path folder) {
        record = new Record(folder);
    }

    public static void main(String[] args) throws Exception {
        int exit = 2;
        ResumedStreams test = new ResumedStreams(Path.of(args[0]));
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
        List<Runner> runners = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            add(runners, store, "runner-" + i);
        }
        try (Daemons daemons = new Daemons(store.address())) {
            Daemons.Daemon daemon = daemons.start("edge-1");
            daemons.start("edge-2");
            daemons.awaitReady(30_000);
            Thread.sleep(1_500);
            for (int round = 0; round < ROUNDS; round++) {
                CountDownLatch done = new CountDownLatch(STREAMS_PER_ROUND);
                for (int i = 0; i < STREAMS_PER_ROUND; i++) {
                    String id = "r" + round + "s" + i;
                    new Thread(() -> {
                                stream(daemon, id);
                                done.countDown();
                            })
                            .start();
                    Thread.sleep(10);
                }
                Thread.sleep(600);
                if (Setup.trouble()) {
                    grey = runners.get(1).id;
                    Runner crashed = runners.remove(0);
                    record.line(crashed.id + " crashes; " + grey + " fails a part of its requests");
                    crashed.crash();
                    store.remove("servers", crashed.id);
                }
                done.await();
                add(runners, store, "runner-" + (6 + round));
                Thread.sleep(700);
            }
        }
        record.line("streams that came whole: " + whole + ", streams that look complete and are not: " + violations);
        System.out.println("ORDER broken " + violations + " times; whole streams " + whole);
        return violations.get() > 0 ? 1 : 0;
    }

    private void add(List<Runner> runners, Store store, String id) throws Exception {
        Runner r = new Runner("127.0.0.1", id, Setup.MODEL, this::answer);
        runners.add(r);
        store.put("servers", id, r.entry("ready", 64));
    }

    private void answer(Runner runner, Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("X-Attempt-Id");
        record.line(runner.id + " runs " + id + " after " + request.header("Last-Event-Id"));
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        if (runner.id.equals(grey) && requestsAtGrey.getAndIncrement() % 10 < FAILING_OF_TEN) {
            Runner.send(out, 500, Runner.echo(request, runner.id), "failed");
            record.line(runner.id + " answers " + id + " with 500");
            return;
        }
        String after = request.header("Last-Event-Id");
        Runner.startChunks(out, 200, Runner.echo(request, runner.id) + "Content-Type: text/event-stream\r\n");
        for (long e = after == null ? 1 : Long.parseLong(after) + 1; e <= PIECES; e++) {
            Thread.sleep(PIECE_MS);
            Runner.chunk(out, Setup.event(e));
        }
        Runner.endChunks(out);
    }

    private void stream(Daemons.Daemon daemon, String id) {
        try (Client c = new Client(daemon.front, 13_000)) {
            c.send(
                    "POST",
                    "/question/x",
                    List.of(
                            "X-Attempt-Id: " + id,
                            "X-Model: m",
                            "X-Token-Counts: 600,300",
                            "X-Prompt-Prefix: aa:100,b" + id.hashCode() + ":500",
                            "X-Deadline-Ms: 12000",
                            "Authorization: Bearer " + Setup.KEY),
                    Setup.bytes("{}"));
            Http.Message m = c.answer(n -> {});
            long last = 0;
            Matcher ids = ID.matcher(m == null ? "" : m.text());
            while (ids.find()) {
                last = Long.parseLong(ids.group(1));
            }
            int status = m == null ? 0 : m.status();
            boolean complete = m != null && m.complete;
            boolean broken = status == 200 && complete && last < PIECES;
            record.line("client " + id + ": status " + status + ", looks complete " + complete + ", last piece " + last
                    + " of " + PIECES + ", runs " + runs.getOrDefault(id, new AtomicInteger())
                    + (broken ? "  BROKEN" : ""));
            if (broken) {
                violations.incrementAndGet();
            } else if (status == 200 && complete) {
                whole.incrementAndGet();
            }
        } catch (Exception e) {
            record.line("client " + id + ": " + e);
        }
    }
}
