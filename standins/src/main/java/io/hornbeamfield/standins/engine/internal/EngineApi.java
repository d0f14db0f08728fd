package io.hornbeamfield.standins.engine.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.engine.EngineFaults;
import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.internal.Answers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** HTTP interface of the simulated engine. */
public final class EngineApi implements AutoCloseable {
    private static final String STREAMS = "/v1/streams/";

    private final EngineSetup setup;
    private final long startedAtMs;
    private final ScheduledExecutorService timer = Answers.timer("engine-timer");
    private final ExecutorService writers = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "engine-writer");
        t.setDaemon(true);
        return t;
    });
    private final AtomicLong arrivals = new AtomicLong();
    private final RunLog runs = new RunLog();
    private final CacheEvents cacheEvents;
    private final PrefixCache cache;
    private final Batch batch;
    private final Models models;
    private final HttpServer server;
    private volatile EngineFaults faults = EngineFaults.NONE;
    private volatile LoadReport lastReport;

    public EngineApi(EngineSetup setup) {
        this.setup = setup;
        startedAtMs = setup.clock().millis();
        cacheEvents = new CacheEvents(setup.clock(), setup.cacheEventLag(), setup.cacheEventGaps(), setup.seed());
        cache = new PrefixCache(setup.cacheTokens(), cacheEvents::add);
        batch = new Batch(setup.timing(), cache, setup.clock(), () -> faults.slowdown());
        models = new Models(
                setup.models(), setup.checksFencing(), setup.modelLoad().toMillis(), setup.clock(), timer);
        lastReport = report();
        long lagMs = setup.loadLag().toMillis();
        if (lagMs > 0) {
            timer.scheduleAtFixedRate(() -> lastReport = report(), lagMs, lagMs, TimeUnit.MILLISECONDS);
        }
        server = HttpServer.builder()
                .address(setup.address())
                .name("engine")
                .route("POST", "/v1/chat/completions", this::complete)
                .route("GET", STREAMS + "*", this::resume)
                .route("DELETE", STREAMS + "*", this::cancel)
                .route("GET", "/load", x -> Answers.json(x, 200, lagMs > 0 ? lastReport : report()))
                .route("GET", "/cache-events", this::listCacheEvents)
                .route("POST", "/orders", this::order)
                .route("GET", "/control/records", x -> Answers.json(x, 200, records()))
                .route("GET", "/control/orders", x -> Answers.json(x, 200, models.orders()))
                .route("POST", "/control/faults", this::postFaults)
                .start();
    }

    public int port() {
        return server.port();
    }

    public synchronized void inject(EngineFaults next) {
        faults = next;
    }

    public List<EngineRecord> records() {
        return runs.records();
    }

    private LoadReport report() {
        double kvUsed = Math.min(1, (double) (batch.contextTokens() + cache.usedTokens()) / (2 * setup.cacheTokens()));
        String state = faults.leaving() ? "leaving" : "live";
        return new LoadReport(batch.runningCount(), batch.waitingCount(), kvUsed, models.loaded(), state, startedAtMs);
    }

    private void complete(HttpExchange x) {
        ChatRequest request;
        try {
            request = ChatRequest.parse(x);
        } catch (IllegalArgumentException e) {
            Answers.error(x, 400, String.valueOf(e.getMessage()));
            return;
        }
        if (!models.has(request.model())) {
            Answers.error(x, 404, "Model \"" + request.model() + "\" is not loaded.");
            return;
        }
        if (batch.waitingCount() >= setup.waitingLimit()) {
            Answers.error(x, 503, "More than " + setup.waitingLimit() + " requests are waiting.");
            return;
        }
        Run run = new Run(request, arrivals.incrementAndGet(), setup.clock().millis());
        runs.add(run);
        if (request.stream()) {
            stream(x, run, 0, takeSilentStream());
        } else {
            answerWhole(x, run);
        }
        batch.submit(run);
    }

    private void answerWhole(HttpExchange x, Run run) {
        AtomicBoolean answered = new AtomicBoolean();
        run.observe(() -> {
            if (run.ended() && answered.compareAndSet(false, true)) {
                writers.execute(() -> Answers.json(x, 200, EngineJson.whole(run)));
            }
        });
    }

    private void stream(HttpExchange x, Run run, int from, boolean goesSilent) {
        Map<String, String> headers = Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-store");
        new TokenStream(run, from, x.startStream(200, headers), writers, goesSilent).start();
    }

    private synchronized boolean takeSilentStream() {
        int left = faults.silentStreams();
        if (left == 0) {
            return false;
        }
        faults = faults.withSilentStreams(left - 1);
        return true;
    }

    private Optional<Run> runOf(HttpExchange x) {
        Optional<Run> run = runs.find(x.path().substring(STREAMS.length()));
        if (run.isEmpty()) {
            Answers.error(x, 404, "There is no stream " + x.path().substring(STREAMS.length()) + ".");
        }
        return run;
    }

    private void resume(HttpExchange x) {
        int from = Integer.parseInt(x.query("from").orElse("0"));
        runOf(x).ifPresent(run -> stream(x, run, from, false));
    }

    private void cancel(HttpExchange x) {
        if (faults.loseCancels()) {
            Answers.closeUnanswered(x);
            return;
        }
        runOf(x).ifPresent(run -> {
            batch.cancel(run);
            Answers.json(x, 200, Map.of("usage", EngineJson.usage(run)));
        });
    }

    private void listCacheEvents(HttpExchange x) {
        Answers.json(x, 200, cacheEvents.after(Long.parseLong(x.query("after").orElse("0"))));
    }

    private void order(HttpExchange x) {
        JsonNode o = Json.parse(x.body());
        if (!Models.KINDS.contains(o.path("kind").asText())) {
            Answers.error(x, 400, "The order kind must be one of " + Models.KINDS + ".");
            return;
        }
        boolean accepted = models.order(
                o.path("fence").asLong(),
                o.path("kind").asText(),
                o.path("model").asText(),
                o.path("role").asText());
        if (accepted) {
            Answers.json(x, 200, Map.of("models", models.loaded(), "role", models.role()));
        } else {
            Answers.error(x, 409, "The fencing number is older than " + models.highestFence() + ".");
        }
    }

    private void postFaults(HttpExchange x) {
        JsonNode changes = Json.parse(x.body());
        synchronized (this) {
            faults = faults.with(changes);
        }
        Answers.json(x, 200, faults);
    }

    @Override
    public void close() {
        server.close();
        batch.close();
        timer.shutdownNow();
        writers.shutdownNow();
    }
}
