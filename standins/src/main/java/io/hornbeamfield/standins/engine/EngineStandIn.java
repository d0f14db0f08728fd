package io.hornbeamfield.standins.engine;

import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.standins.engine.internal.BatchTiming;
import io.hornbeamfield.standins.engine.internal.EngineApi;
import io.hornbeamfield.standins.engine.internal.EngineSetup;
import java.time.Clock;
import java.time.Duration;
import java.util.List;

/**
 * Simulated model engine: the HTTP interface of section 5.3 of the design page over continuous batching with a bounded
 * prefix cache.
 *
 * <pre>{@code
 * try (EngineStandIn engine = EngineStandIn.builder().models(List.of("m")).slots(8).start()) {
 *     List<EngineRecord> runs = engine.records();
 * }
 * }</pre>
 */
public final class EngineStandIn implements AutoCloseable {
    private final EngineApi api;

    private EngineStandIn(Builder b) {
        api = new EngineApi(new EngineSetup(
                b.address,
                b.models,
                new BatchTiming(b.slots, b.prefillMsPerToken, b.tokenMs, b.addedMsPerRequest),
                b.waitingLimit,
                b.cacheTokens,
                b.loadLag,
                b.cacheEventLag,
                b.cacheEventGaps,
                b.checksFencing,
                b.modelLoad,
                b.seed,
                b.clock));
    }

    /** Starts a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    public int port() {
        return api.port();
    }

    /** Returns the address in the form {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + api.port();
    }

    /** Replaces the faults in force. */
    public void inject(EngineFaults faults) {
        api.inject(faults);
    }

    /** Returns what was done for each request, in the order of arrival. */
    public List<EngineRecord> records() {
        return api.records();
    }

    @Override
    public void close() {
        api.close();
    }

    /** Builds an {@link EngineStandIn}. */
    public static final class Builder {
        private String address = "127.0.0.1:0";
        private List<String> models = List.of("m");
        private int slots = 16;
        private double prefillMsPerToken = 0.05;
        private double tokenMs = 2;
        private double addedMsPerRequest = 0.1;
        private int waitingLimit = 10_000;
        private long cacheTokens = 20_000;
        private Duration loadLag = Duration.ofMillis(200);
        private Duration cacheEventLag = Duration.ofMillis(300);
        private double cacheEventGaps = 0.05;
        private boolean checksFencing = true;
        private Duration modelLoad = Duration.ofSeconds(1);
        private long seed = 1;
        private Clock clock = MonotonicClock.start();

        private Builder() {}

        /** Sets the address to listen on; port 0 picks a free one. */
        public Builder address(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the models that are loaded at the start. */
        public Builder models(List<String> names) {
            this.models = List.copyOf(names);
            return this;
        }

        /** Sets the number of requests that are computed together. */
        public Builder slots(int count) {
            this.slots = count;
            return this;
        }

        /** Sets the time to read one uncached prompt token. */
        public Builder prefillMsPerToken(double ms) {
            this.prefillMsPerToken = ms;
            return this;
        }

        /** Sets the time per token with one running request. */
        public Builder tokenMs(double ms) {
            this.tokenMs = ms;
            return this;
        }

        /** Sets what each further running request adds to the time per token. */
        public Builder addedMsPerRequest(double ms) {
            this.addedMsPerRequest = ms;
            return this;
        }

        /** Sets the number of waiting requests above which new ones are refused. */
        public Builder waitingLimit(int count) {
            this.waitingLimit = count;
            return this;
        }

        /** Sets the size of the prefix cache in prompt tokens. */
        public Builder cacheTokens(long count) {
            this.cacheTokens = count;
            return this;
        }

        /** Sets the age of the load report. */
        public Builder loadLag(Duration lag) {
            this.loadLag = lag;
            return this;
        }

        /** Sets how late cache events are shown and which share of them is left out. */
        public Builder cacheEvents(Duration lag, double gaps) {
            this.cacheEventLag = lag;
            this.cacheEventGaps = gaps;
            return this;
        }

        /** Sets whether orders with an old fencing number are refused. */
        public Builder checksFencing(boolean checks) {
            this.checksFencing = checks;
            return this;
        }

        /** Sets the time that it takes to load a model. */
        public Builder modelLoad(Duration time) {
            this.modelLoad = time;
            return this;
        }

        /** Sets the seed of the gaps in the cache events. */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /** Sets the clock of records, reports and events. The batch itself runs in real time. */
        public Builder clock(Clock source) {
            this.clock = source;
            return this;
        }

        /** Binds the address and starts serving. */
        public EngineStandIn start() {
            return new EngineStandIn(this);
        }
    }
}
