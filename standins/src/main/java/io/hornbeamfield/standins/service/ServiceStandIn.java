package io.hornbeamfield.standins.service;

import com.google.common.hash.Hashing;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.internal.Answers;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulated plain service: runs every call that arrives, repeated or not, and records each run of a POST with its key.
 *
 * <pre>{@code
 * try (ServiceStandIn service = ServiceStandIn.builder().start()) {
 *     assertThat(service.records()).allMatch(r -> r.count() == 1);
 * }
 * }</pre>
 */
public final class ServiceStandIn implements AutoCloseable {
    private record RunKey(String key, String workspace, String path) {}

    private enum Ending {
        ANSWER,
        SILENT,
        BROKEN
    }

    private final Clock clock;
    private final ScheduledExecutorService timer = Answers.timer("service-timer");
    private final Map<RunKey, ServiceRecord> records = new LinkedHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final HttpServer server;
    private ServiceFaults faults = ServiceFaults.NONE;

    private ServiceStandIn(Builder b) {
        clock = b.clock;
        faults = faults.with(Json.tree(Map.of("delayMs", b.delayMs)));
        server = HttpServer.builder()
                .address(b.address)
                .name("service")
                .route("GET", "/control/records", x -> Answers.json(x, 200, records()))
                .route("POST", "/control/faults", this::postFaults)
                .route("GET", "/load", this::load)
                .route("*", "/*", this::call)
                .start();
    }

    /** Starts a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the answer to a call with the given key and body, for tests that check whose answer they got. */
    public static String expectedReply(String key, byte[] body) {
        return "s-" + key + "-" + Hashing.sha256().hashBytes(body).toString().substring(0, 8);
    }

    /** Returns the bound port. */
    public int port() {
        return server.port();
    }

    /** Returns the address in the form {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + server.port();
    }

    /** Replaces the faults in force. */
    public synchronized void inject(ServiceFaults next) {
        faults = next;
    }

    /** Returns the runs so far. */
    public synchronized List<ServiceRecord> records() {
        return List.copyOf(records.values());
    }

    private synchronized ServiceFaults faults() {
        return faults;
    }

    private void postFaults(HttpExchange x) {
        synchronized (this) {
            faults = faults.with(Json.parse(x.body()));
        }
        Answers.json(x, 200, faults());
    }

    private void load(HttpExchange x) {
        Answers.json(x, 200, Map.of("running", running.get(), "state", faults().leaving() ? "leaving" : "live"));
    }

    private void call(HttpExchange x) {
        running.incrementAndGet();
        String key = x.header("Idempotency-Key").orElse("");
        Ending ending = x.method().equals("POST") ? run(x, key) : Ending.ANSWER;
        Answers.after(timer, faults().delayMs(), () -> {
            running.decrementAndGet();
            if (ending == Ending.ANSWER) {
                Answers.json(x, 200, Map.of("path", x.path(), "reply", expectedReply(key, x.body())));
            } else if (ending == Ending.BROKEN) {
                Answers.closeUnanswered(x);
            }
        });
    }

    private synchronized Ending run(HttpExchange x, String key) {
        String workspace = x.header("X-Workspace").orElse("");
        long now = clock.millis();
        records.merge(
                new RunKey(key, workspace, x.path()),
                new ServiceRecord(key, workspace, x.path(), 1, now, now),
                (before, next) -> new ServiceRecord(
                        key, workspace, before.path(), before.count() + 1, before.firstMs(), next.lastMs()));
        ServiceFaults f = faults;
        if (f.silentAfterRun() > 0) {
            faults = new ServiceFaults(f.delayMs(), f.silentAfterRun() - 1, f.brokenAfterRun(), f.leaving());
            return Ending.SILENT;
        }
        if (f.brokenAfterRun() > 0) {
            faults = new ServiceFaults(f.delayMs(), 0, f.brokenAfterRun() - 1, f.leaving());
            return Ending.BROKEN;
        }
        return Ending.ANSWER;
    }

    @Override
    public void close() {
        server.close();
        timer.shutdownNow();
    }

    /** Builds a {@link ServiceStandIn}. */
    public static final class Builder {
        private String address = "127.0.0.1:0";
        private long delayMs;
        private Clock clock = MonotonicClock.start();

        private Builder() {}

        /** Sets the address to listen on; port 0 picks a free one. */
        public Builder address(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the time that each call takes. */
        public Builder delayMs(long ms) {
            this.delayMs = ms;
            return this;
        }

        /** Sets the clock of the records. */
        public Builder clock(Clock source) {
            this.clock = source;
            return this;
        }

        /** Binds the address and starts serving. */
        public ServiceStandIn start() {
            return new ServiceStandIn(this);
        }
    }
}
