package io.hornbeamfield.router.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.router.BackendLoad;
import io.hornbeamfield.router.BillingService;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.BudgetService;
import io.hornbeamfield.router.CrashService;
import io.hornbeamfield.router.control.internal.Controllers;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The control plane of a router process and the services that it offers to request handling.
 *
 * <pre>{@code
 * RouterControl control = RouterControl.builder()
 *         .settings(settings)
 *         .httpClient(client)
 *         .inFlight(traffic::open)
 *         .start();
 * control.budgets().reserve("plots", 400, Duration.ofSeconds(2));
 * control.leave().join();
 * control.close();
 * }</pre>
 */
public interface RouterControl extends AutoCloseable {
    /** Returns a new builder. */
    static Builder builder() {
        return new Builder();
    }

    /** Returns the incarnation of this process. */
    String incarnation();

    /** Returns the clock of the process. */
    Clock clock();

    /** Returns the state that the controllers publish. */
    Blackboard blackboard();

    /** Returns the service that reserves tokens. */
    BudgetService budgets();

    /** Returns the service that records charges. */
    BillingService billing();

    /** Returns the service that shares crashes of engines. */
    CrashService crashes();

    /** Returns the load of the backend servers. */
    BackendLoad backends();

    /** Returns the index of cached prompt prefixes, which the servers' cache events update. */
    PrefixIndex prefixes();

    /** Returns the bound port for peers. */
    int peerPort();

    /** Starts a graceful shutdown; the future completes when the process may exit. Repeated calls have no effect. */
    CompletableFuture<Void> leave();

    /** Returns the state of the controllers for the state dump. */
    JsonNode state();

    /** Stops at once without a graceful shutdown. */
    @Override
    void close();

    /** The dependencies of the controllers, as collected by a builder. */
    record Dependencies(
            RouterSettings settings,
            Clock clock,
            HttpClient http,
            PlatformClient platform,
            Metrics metrics,
            IntSupplier inFlight) {}

    /** Builds and starts a {@link RouterControl}. */
    final class Builder {
        private @Nullable RouterSettings settings;
        private @Nullable HttpClient http;
        private @Nullable PlatformClient platform;
        private Clock clock = MonotonicClock.start();
        private Metrics metrics = Metrics.create();
        private IntSupplier inFlight = () -> 0;

        private Builder() {}

        /** Sets the settings of the process. */
        public Builder settings(RouterSettings checked) {
            this.settings = checked;
            return this;
        }

        /** Sets the client for calls to the platform and to backend servers. */
        public Builder httpClient(HttpClient client) {
            this.http = client;
            return this;
        }

        /** Replaces the platform client that is otherwise built from the settings. */
        public Builder platform(PlatformClient client) {
            this.platform = client;
            return this;
        }

        /** Sets the clock of the process. */
        public Builder clock(Clock monotonic) {
            this.clock = monotonic;
            return this;
        }

        /** Sets the metrics of the process. */
        public Builder metrics(Metrics shared) {
            this.metrics = shared;
            return this;
        }

        /** Sets the source of the number of in-flight requests; a graceful shutdown waits until it is 0. */
        public Builder inFlight(IntSupplier source) {
            this.inFlight = source;
            return this;
        }

        /** Starts the controllers. */
        public RouterControl start() {
            RouterSettings s = requireNonNull(settings, "settings");
            HttpClient client = requireNonNull(http, "httpClient");
            PlatformClient objects = platform == null
                    ? new HttpPlatformClient(client, s.platformAddress(), s.platformToken())
                    : platform;
            return Controllers.start(new Dependencies(s, clock, client, objects, metrics, inFlight));
        }
    }
}
