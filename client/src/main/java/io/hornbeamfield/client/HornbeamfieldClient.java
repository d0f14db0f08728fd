package io.hornbeamfield.client;

import io.hornbeamfield.client.internal.FleetClient;
import io.hornbeamfield.core.time.MonotonicClock;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to a router fleet. It asks the fleet for addresses, names each request with a key, and retries so that
 * a request is neither run twice nor given up while its answer can still be had.
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
    /** Starts a builder. */
    static Builder builder() {
        return new Builder();
    }

    /** Sends a model request. The listener gets the text while it arrives, the future the whole answer. */
    CompletableFuture<Outcome> chat(ChatRequest request, AnswerListener listener);

    /** Calls a plain service. */
    CompletableFuture<Outcome> call(ServiceCall call);

    @Override
    void close();

    /** Settings of a client. {@code silence} is the time without progress after which a stream is resumed. */
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

        /** Sets the routers, {@code ip:port}, that are asked first for addresses. */
        public Builder seedAddresses(String... addresses) {
            this.seedAddresses = List.of(addresses);
            return this;
        }

        /** Sets the key of the workspace. */
        public Builder workspaceKey(String key) {
            this.workspaceKey = key;
            return this;
        }

        /** Sets the availability zone of this process; routers there are preferred. */
        public Builder zone(String name) {
            this.zone = name;
            return this;
        }

        /** Sets the time without progress after which a stream is resumed on a fresh connection. */
        public Builder resumeAfterSilence(Duration limit) {
            this.silence = limit;
            return this;
        }

        /** Sets the number of attempts per request. */
        public Builder maxTries(int count) {
            this.maxTries = count;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Returns the finished client. */
        public HornbeamfieldClient build() {
            if (seedAddresses.isEmpty() || workspaceKey.isEmpty()) {
                throw new IllegalArgumentException("Set at least one seed address and the workspace key.");
            }
            return FleetClient.start(new Settings(seedAddresses, workspaceKey, zone, silence, maxTries, clock));
        }
    }
}
