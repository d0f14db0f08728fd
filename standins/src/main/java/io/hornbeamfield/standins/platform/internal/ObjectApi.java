package io.hornbeamfield.standins.platform.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.internal.Answers;
import io.hornbeamfield.standins.platform.PlatformFaults;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Answers the calls of the object API under the faults in force. */
public final class ObjectApi {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int MAX_LIST = 1000;
    /** A lost answer that stays silent is closed after this time, so that the stand-in does not keep it for ever. */
    private static final double SILENT_ANSWER_MS = 10_000;

    private final ObjectStore store;
    private final InstanceList instances;
    private final CallCounters counters;
    private final ScheduledExecutorService timer;
    private final String token;
    private final Random random;
    private final RateLimit reads;
    private final RateLimit writes;
    private final PendingWatches pendingWatches;
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    public ObjectApi(Clock clock, String token, long seed, ScheduledExecutorService timer) {
        this.store = new ObjectStore(clock);
        this.instances = new InstanceList(clock);
        this.counters = new CallCounters();
        this.reads = new RateLimit(clock);
        this.writes = new RateLimit(clock);
        this.timer = timer;
        this.token = token;
        this.random = new Random(seed);
        this.pendingWatches = new PendingWatches(store, timer);
    }

    public InstanceList instances() {
        return instances;
    }

    public ObjectStore store() {
        return store;
    }

    public CallCounters counters() {
        return counters;
    }

    public PlatformFaults faults() {
        return faults;
    }

    /** Replaces the faults; an outage also ends the watches that are waiting. */
    public void inject(PlatformFaults next) {
        faults = next;
        if (next.outage()) {
            pendingWatches.failAll();
        }
    }

    public HttpServer.Builder addRoutes(HttpServer.Builder server) {
        return server.route("GET", "/objects/*", x -> accept(x, reads, faults.readsPerSecond(), () -> read(x)))
                .route("PUT", "/objects/*", x -> accept(x, writes, faults.writesPerSecond(), () -> put(x)))
                .route("DELETE", "/objects/*", x -> accept(x, writes, faults.writesPerSecond(), () -> delete(x)))
                .route("GET", "/objects", x -> accept(x, reads, faults.readsPerSecond(), () -> list(x)))
                .route("GET", "/watch/*", x -> accept(x, reads, faults.readsPerSecond(), () -> watch(x)))
                .route("GET", "/instances", x -> accept(x, reads, faults.readsPerSecond(), () -> listInstances(x)));
    }

    private void accept(HttpExchange x, RateLimit limit, double rate, Runnable action) {
        if (!x.header("Authorization").equals(Optional.of("Bearer " + token))) {
            Answers.error(x, 401, "The platform token is missing or wrong.");
            return;
        }
        Answers.after(timer, faults.delayMs() / 2, () -> {
            if (faults.outage()) {
                counters.count("rejected");
                Answers.error(x, 503, "The platform has an outage.");
            } else if (!limit.tryTake(rate)) {
                counters.count("rejected");
                Answers.error(x, 429, "The call rate is over " + rate + " per second.");
            } else {
                action.run();
            }
        });
    }

    private void answer(HttpExchange x, int status, Object value) {
        Answers.after(timer, faults.delayMs() / 2, () -> Answers.json(x, status, value));
    }

    private void read(HttpExchange x) {
        String key = key(x, "/objects/");
        counters.countRead("reads", key);
        boolean stale = chance(faults.staleReads());
        if (stale) {
            counters.count("staleReads");
        }
        Optional<StoredObject> object = stale ? store.readStale(key) : store.read(key);
        if (object.isPresent()) {
            answer(x, 200, object.get());
        } else {
            answer(x, 404, Map.of("detail", "There is no object \"" + key + "\"."));
        }
    }

    private void list(HttpExchange x) {
        String prefix = x.query("prefix").orElse("");
        counters.countRead("lists", prefix);
        int limit = Math.min(MAX_LIST, (int) number(x.query("limit")).orElse(MAX_LIST));
        List<StoredObject> found = store.list(prefix, x.query("after").orElse(""), limit);
        boolean more = found.size() > limit;
        answer(x, 200, Map.of("objects", more ? found.subList(0, limit) : found, "more", more));
    }

    private void watch(HttpExchange x) {
        String key = key(x, "/watch/");
        counters.countRead("watches", key);
        long after = number(x.query("after")).orElse(0);
        long waitMs = number(x.query("waitMs")).orElse(0);
        pendingWatches.await(x, key, after, waitMs, object -> answer(x, 200, object));
    }

    private void listInstances(HttpExchange x) {
        counters.count("instances");
        answer(x, 200, Map.of("instances", instances.entries(Duration.ofMillis(faults.instanceListLagMs()))));
    }

    private void put(HttpExchange x) {
        if (x.body().length > MAX_VALUE_BYTES) {
            Answers.error(x, 413, "The value is larger than " + MAX_VALUE_BYTES + " bytes.");
            return;
        }
        JsonNode value;
        try {
            value = Json.parse(x.body());
        } catch (UncheckedIOException e) {
            Answers.error(x, 400, "The value is not JSON: " + e.getMessage());
            return;
        }
        if (value.isMissingNode()) {
            Answers.error(x, 400, "The value is empty.");
            return;
        }
        update(x, value);
    }

    private void delete(HttpExchange x) {
        update(x, null);
    }

    private void update(HttpExchange x, @Nullable JsonNode value) {
        OptionalLong expected = number(x.header("If-Match"));
        if (expected.isEmpty()) {
            Answers.error(x, 400, "The If-Match header is missing or not a version.");
            return;
        }
        String key = key(x, "/objects/");
        counters.countWrite(key);
        AtomicLong version = new AtomicLong();
        Optional<StoredObject> conflict = store.update(key, expected.getAsLong(), value, version::set);
        if (conflict.isPresent()) {
            counters.count("conflicts");
            StoredObject current = conflict.get();
            answer(x, 412, Map.of("version", current.version(), "value", current.value()));
        } else if (chance(faults.loseAnswers())) {
            counters.count("lostAnswers");
            Answers.after(timer, chance(0.5) ? 0 : SILENT_ANSWER_MS, () -> Answers.closeUnanswered(x));
        } else {
            answer(x, 200, Map.of("version", version.get()));
        }
    }

    private boolean chance(double share) {
        synchronized (random) {
            return share > 0 && random.nextDouble() < share;
        }
    }

    private static String key(HttpExchange x, String prefix) {
        return x.path().substring(prefix.length());
    }

    private static OptionalLong number(Optional<String> text) {
        try {
            return text.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(text.get().replace("\"", "")));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
