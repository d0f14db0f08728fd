package io.hornbeamfield.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.internal.Answers;
import io.hornbeamfield.standins.platform.internal.InstanceList;
import io.hornbeamfield.standins.platform.internal.ObjectApi;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Simulated platform: the object API of section 5.2 of the design page with faults that tests inject. The control
 * endpoints have a port of their own, so that an outage or a cut link does not affect them.
 *
 * <pre>{@code
 * try (PlatformStandIn platform = PlatformStandIn.builder().token("secret").start()) {
 *     platform.inject(PlatformFaults.NONE.withOutage(true));
 * }
 * }</pre>
 */
public final class PlatformStandIn implements AutoCloseable {
    private final ObjectApi api;
    private final ScheduledExecutorService timer;
    private final HttpServer server;
    private final HttpServer control;

    private PlatformStandIn(Builder b) {
        timer = Answers.timer("platform-timer");
        api = new ObjectApi(b.clock, b.token, b.seed, timer);
        api.inject(b.faults);
        server = api.addRoutes(HttpServer.builder().address(b.address).name("platform"))
                .start();
        control = HttpServer.builder()
                .address(b.controlAddress)
                .name("platform-control")
                .workerThreads(2)
                .route("PUT", "/control/instances/*", this::putInstance)
                .route("DELETE", "/control/instances/*", this::deleteInstance)
                .route("POST", "/control/faults", this::postFaults)
                .route("GET", "/control/stats", x -> Answers.json(x, 200, stats()))
                .start();
    }

    /** Starts a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port of the object API. */
    public int port() {
        return server.port();
    }

    /** Returns the port of the control endpoints. */
    public int controlPort() {
        return control.port();
    }

    /** Replaces the faults in force. */
    public void inject(PlatformFaults faults) {
        api.inject(faults);
    }

    /** Returns the faults in force. */
    public PlatformFaults faults() {
        return api.faults();
    }

    /** Adds or replaces an entry of the instance list. */
    public void putInstance(String id, String kind, String address, String zone, String state) {
        api.instances().put(new InstanceList.Entry(id, kind, address, zone, state));
    }

    /** Returns the call counts by kind. */
    public Map<String, Object> stats() {
        return api.counters().snapshot();
    }

    private void putInstance(HttpExchange x) {
        JsonNode e = Json.parse(x.body());
        putInstance(
                instanceId(x),
                e.path("kind").asText(),
                e.path("address").asText(),
                e.path("zone").asText(),
                e.path("state").asText("live"));
        Answers.json(x, 200, Map.of());
    }

    private void deleteInstance(HttpExchange x) {
        api.instances().remove(instanceId(x));
        Answers.json(x, 200, Map.of());
    }

    private static String instanceId(HttpExchange x) {
        return x.path().substring("/control/instances/".length());
    }

    private void postFaults(HttpExchange x) {
        api.inject(api.faults().with(Json.parse(x.body())));
        Answers.json(x, 200, api.faults());
    }

    @Override
    public void close() {
        server.close();
        control.close();
        timer.shutdownNow();
    }

    /** Builds a {@link PlatformStandIn}. */
    public static final class Builder {
        private String address = "127.0.0.1:0";
        private String controlAddress = "127.0.0.1:0";
        private String token = "platform-token";
        private long seed = 1;
        private Clock clock = MonotonicClock.start();
        private PlatformFaults faults = PlatformFaults.NONE;

        private Builder() {}

        /** Sets the address of the object API; port 0 picks a free one. */
        public Builder address(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the address of the control endpoints; port 0 picks a free one. */
        public Builder controlAddress(String ipAndPort) {
            this.controlAddress = ipAndPort;
            return this;
        }

        /** Sets the bearer token that every call must carry. */
        public Builder token(String bearerToken) {
            this.token = bearerToken;
            return this;
        }

        /** Sets the seed of the random faults. */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /** Sets the clock of the rates, the instance list lag and stale reads. */
        public Builder clock(Clock source) {
            this.clock = source;
            return this;
        }

        /** Sets the faults at the start. */
        public Builder faults(PlatformFaults initial) {
            this.faults = initial;
            return this;
        }

        /** Binds the addresses and starts serving. */
        public PlatformStandIn start() {
            return new PlatformStandIn(this);
        }
    }
}
