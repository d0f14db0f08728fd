package io.hornbeamfield.entry;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** Callers and backend servers of a soak, and a judge that compares what the callers got with what the servers ran. */
final class SoakTraffic implements AutoCloseable {
    private static final int EVENTS = 4;
    private static final int TRIES = 3;
    private static final long EVENT_MS = 20;
    private static final int PROMPT_TOKENS = 10;
    private static final String TOKENS = "X-Token-Counts: " + PROMPT_TOKENS + ",10";
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) by <([^>]+)>\n\n");

    private static final Pattern CODE = Pattern.compile("\"code\":(\\d+)");

    private final List<SoakDaemons.Daemon> daemons;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> served = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final List<Thread> callers = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final AtomicLong usedTokens = new AtomicLong();
    private volatile boolean running = true;

    SoakTraffic(List<SoakDaemons.Daemon> daemons) {
        this.daemons = daemons;
    }

    /** Lets a server of the plain service respond: late, in part of the cases by a refusal or a break. */
    void respond(FakeBackendServer server, Random random) {
        server.respondWith(r -> {
            int luck = next(random, 100);
            if (luck < 8) {
                FakeBackendServer.decline(r);
                return;
            }
            runs.merge(r.path(), 1, Integer::sum);
            timer.schedule(
                    () -> {
                        if (luck < 12) {
                            r.cut();
                        } else {
                            FakeBackendServer.answer(r, 200, "done " + r.path());
                        }
                    },
                    next(random, 60),
                    TimeUnit.MILLISECONDS);
        });
    }

    /** Lets a server of the model write streams whose events name its version; some break off. */
    void stream(FakeBackendServer server, String version, Random random) {
        server.respondWith(r -> {
            runs.merge(r.path(), 1, Integer::sum);
            String last = r.header("Last-Event-Id");
            r.start(200, FakeBackendServer.signedHeaders(r));
            int breakAfter = next(random, 3) > 0 ? EVENTS : next(random, EVENTS);
            write(r, last == null ? 1 : Integer.parseInt(last) + 1, version, breakAfter);
        });
    }

    private void write(InboundRequest r, int number, String version, int breakAfter) {
        if (number > EVENTS) {
            r.end();
        } else if (number > breakAfter) {
            r.cut();
        } else {
            String id = r.path().substring(0, r.path().lastIndexOf('-'));
            String event = "id: " + number + "\ndata: " + id + " by <" + version + ">\n\n";
            r.write(event.getBytes(StandardCharsets.UTF_8));
            timer.schedule(() -> write(r, number + 1, version, breakAfter), EVENT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static int next(Random random, int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    /** Starts callers that send requests until this is closed. */
    void start(Random random) {
        for (int i = 0; i < 2; i++) {
            caller(() -> single("GET", "/read/", random));
            caller(() -> single("POST", "/write/", random));
            caller(() -> streamOverTries(random));
        }
    }

    private void caller(Runnable action) {
        Thread t = new Thread(() -> {
            while (running) {
                try {
                    action.run();
                } catch (RuntimeException | AssertionError e) {
                    violations.add("A caller failed: " + e);
                }
            }
        });
        t.setDaemon(true);
        callers.add(t);
        t.start();
    }

    /** An answer, and whether its daemon was killed before it ended. */
    private record Answer(ReceivedAnswer received, boolean killed) {}

    private Answer send(Random random, String method, String path, String... more) {
        SoakDaemons.Daemon daemon = daemons.get(next(random, daemons.size()));
        long kills = daemon.kills();
        List<String> headers =
                new ArrayList<>(List.of(EntryFixture.KEY, "X-Attempt-Id: " + path, EntryFixture.DEADLINE));
        headers.addAll(List.of(more));
        try (Caller caller = Caller.send(daemon.address(), method, path, headers.toArray(String[]::new))) {
            ReceivedAnswer answer = ReceivedAnswer.of(caller.all());
            served.merge(path.split("/")[1] + " " + answer.status() + code(answer), 1, Integer::sum);
            if (answer.status() != 200) {
                pause();
            }
            return new Answer(answer, daemon.kills() > kills);
        } catch (UncheckedIOException e) {
            pause();
            return new Answer(new ReceivedAnswer(0, List.of(), "", false), daemon.kills() > kills);
        }
    }

    private static String code(ReceivedAnswer answer) {
        return CODE.matcher(answer.body())
                .results()
                .map(r -> " " + r.group(1))
                .findFirst()
                .orElse("");
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void single(String method, String prefix, Random random) {
        String path = prefix + requests.incrementAndGet();
        Answer answer = send(random, method, path);
        ReceivedAnswer a = answer.received();
        if (a.status() != 0 && !a.complete() && !answer.killed()) {
            violations.add("LOST: the answer to " + path + " was cut: " + a);
        }
        if (a.status() == 200 && a.complete() && !a.body().equals("done " + path)) {
            violations.add("OWN CALLER: " + path + " got " + a);
        }
        judgeNotRun(path, a);
        if (prefix.equals("/write/") && runs.getOrDefault(path, 0) > 1) {
            violations.add("AT MOST ONCE: " + path + " ran " + runs.get(path) + " times");
        }
    }

    private void judgeNotRun(String path, ReceivedAnswer a) {
        boolean notRun = Header.find(a.headers(), "X-Not-Executed").isPresent()
                || a.body().contains("\"ran\":\"no\"");
        if (notRun && runs.getOrDefault(path, 0) > 0) {
            violations.add("NOT RUN: " + path + " ran, but its answer says that it did not: " + a);
        }
    }

    /** Sends a stream and takes it up again until it is whole or no try is left. */
    private void streamOverTries(Random random) {
        String id = "/chat/" + requests.incrementAndGet();
        List<MatchResult> events = new ArrayList<>();
        String begunBy = "";
        boolean whole = false;
        for (int i = 0; i < TRIES && !whole; i++) {
            String path = id + "-" + i;
            Answer answer = events.isEmpty()
                    ? send(random, "POST", path, TOKENS)
                    : send(random, "POST", path, TOKENS, "Resumes: " + begunBy, "Last-Event-Id: " + events.size());
            ReceivedAnswer a = answer.received();
            judgeNotRun(path, a);
            if (a.status() == 200) {
                List<MatchResult> more = EVENT.matcher(a.body()).results().toList();
                usedTokens.addAndGet(PROMPT_TOKENS + more.size());
                if (events.isEmpty() && !more.isEmpty()) {
                    begunBy = path;
                }
                events.addAll(more);
                whole = a.complete();
                judgeEvents(id, events, whole);
            }
        }
        if (whole) {
            served.merge("whole streams", 1, Integer::sum);
        }
    }

    private void judgeEvents(String id, List<MatchResult> events, boolean whole) {
        for (int i = 0; i < events.size(); i++) {
            if (!events.get(i).group(1).equals(Integer.toString(i + 1))) {
                violations.add("WHOLE: event " + (i + 1) + " of " + id + " is "
                        + events.get(i).group());
            }
            if (!events.get(i).group(2).equals(id)) {
                violations.add("OWN CALLER: " + id + " got " + events.get(i).group());
            }
        }
        if (whole && events.size() != EVENTS) {
            violations.add("WHOLE: " + id + " ended after " + events.size() + " events");
        }
        if (events.stream().map(e -> e.group(3)).distinct().count() > 1) {
            violations.add("ORDER: " + id + " holds events of several versions");
        }
    }

    /** Returns how many answers there were of each kind of request and status. */
    Map<String, Integer> served() {
        return served;
    }

    /** Returns the prepaid tokens that the streams which callers received have used at least. */
    long usedTokens() {
        return usedTokens.get();
    }

    /** Ends the callers and returns what broke a promise. */
    List<String> stopAndJudge() {
        running = false;
        callers.forEach(t -> {
            try {
                t.join(TimeUnit.SECONDS.toMillis(20));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        return List.copyOf(violations);
    }

    @Override
    public void close() {
        running = false;
        timer.shutdownNow();
    }
}
