package io.hornbeamfield.client;

import io.hornbeamfield.client.internal.FleetClient;
import io.hornbeamfield.core.time.MonotonicClock;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to a router fleet. Looks up router addresses in the fleet, identifies each request by an idempotency
 * key, and retries so that a request neither runs twice nor is abandoned while its answer can still be obtained.
 *
 * <pre>{@code
 * HornbeamfieldClient client = HornbeamfieldClient.builder()
 *         .seedAddresses("127.0.0.1:8080")
 *         .workspaceKey("secret")
 *         .zone("merrimack")
 *         .build();
 * Outcome outcome = client.chat(request, AnswerListener.none()).join();
 * }</pre>
 */
public interface HornbeamfieldClient extends AutoCloseable {
    /** Returns a new builder. */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Sends a model request. The listener receives the text as it arrives; the future completes with the whole answer.
     */
    CompletableFuture<Outcome> chat(ChatRequest request, AnswerListener listener);

    /** Calls a plain service. */
    CompletableFuture<Outcome> call(ServiceCall call);

    @Override
    void close();

    /** Settings of a client. {@code silence} is the time without received data after which a stream is resumed. */
    record Settings(
            List<String> seedAddresses, String workspaceKey, String zone, Duration silence, int maxTries, Clock clock) {
        public Settings {
            seedAddresses = List.copyOf(seedAddresses);
        }
    }

    /** Builds a {@link HornbeamfieldClient}. */
    final class Builder {
        private List<String> seedAddresses = List.of();
        private String workspaceKey = "";
        private String zone = "";
        private Duration silence = Duration.ofSeconds(10);
        private int maxTries = 8;
        private Clock clock = MonotonicClock.start();

        private Builder() {}

        /** Sets the routers, as {@code ip:port}, that serve the first address lookup. */
        public Builder seedAddresses(String... addresses) {
            this.seedAddresses = List.of(addresses);
            return this;
        }

        /** Sets the API key of the workspace. */
        public Builder workspaceKey(String key) {
            this.workspaceKey = key;
            return this;
        }

        /** Sets the availability zone of this process; routers there are preferred. */
        public Builder zone(String name) {
            this.zone = name;
            return this;
        }

        /** Sets the time without received data after which a stream is resumed on a new connection. */
        public Builder resumeAfterSilence(Duration limit) {
            this.silence = limit;
            return this;
        }

        /** Sets the maximum number of attempts per request. */
        public Builder maxTries(int count) {
            this.maxTries = count;
            return this;
        }

        /** Sets the clock used for deadlines, cached addresses and request keys. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Builds and starts the client. */
        public HornbeamfieldClient build() {
            if (seedAddresses.isEmpty() || workspaceKey.isEmpty()) {
                throw new IllegalArgumentException("Set at least one seed address and the workspace key.");
            }
            return FleetClient.start(new Settings(seedAddresses, workspaceKey, zone, silence, maxTries, clock));
        }
    }
}
