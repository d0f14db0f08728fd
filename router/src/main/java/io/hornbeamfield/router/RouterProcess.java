package io.hornbeamfield.router;

import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.router.control.RouterControl;
import io.hornbeamfield.router.control.RouterSettings;
import io.hornbeamfield.router.traffic.Traffic;
import io.hornbeamfield.router.traffic.TrafficDependencies;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * A complete router: control, traffic and the admin API.
 *
 * <pre>{@code
 * RouterProcess router = RouterProcess.start(settings);
 * router.leave().join();
 * router.close();
 * }</pre>
 */
public final class RouterProcess implements AutoCloseable {
    /** Memory for answers kept for replay; a router may use 128 MB besides the answers in progress. */
    private static final long MAX_KEPT_ANSWER_BYTES = 48L << 20;

    private final HttpClient client;
    private final RouterControl control;
    private final Traffic traffic;
    private final HttpServer admin;

    private RouterProcess(RouterSettings settings) {
        Metrics metrics = Metrics.withJvm();
        AtomicReference<@Nullable Traffic> started = new AtomicReference<>();
        client = HttpClient.create("router");
        control = RouterControl.builder()
                .settings(settings)
                .httpClient(client)
                .metrics(metrics)
                .inFlight(() -> inFlightOf(started.get()))
                .start();
        traffic = Traffic.start(new TrafficDependencies(
                control.incarnation(),
                settings.callerAddress(),
                settings.sharedSecret(),
                control.clock(),
                client,
                metrics,
                control.blackboard(),
                control.budgets(),
                control.billing(),
                control.backends(),
                control.crashes(),
                control.prefixes(),
                registryLimits(settings)));
        started.set(traffic);
        admin = new AdminApi(control, traffic, metrics, settings.operatorToken()).start(settings.adminAddress());
    }

    private static int inFlightOf(@Nullable Traffic traffic) {
        return traffic == null ? 0 : traffic.inFlight();
    }

    private static RegistryLimits registryLimits(RouterSettings settings) {
        return new RegistryLimits(
                settings.registryEntries(),
                MAX_KEPT_ANSWER_BYTES,
                MAX_KEPT_ANSWER_BYTES / 16,
                Duration.ofSeconds(settings.keyLifetimeSeconds()));
    }

    /** Starts a router. */
    public static RouterProcess start(RouterSettings settings) {
        return new RouterProcess(settings);
    }

    /** Returns the incarnation of this router. */
    public String incarnation() {
        return control.incarnation();
    }

    /** Returns the state that controllers publish. */
    public Blackboard blackboard() {
        return control.blackboard();
    }

    /** Leaves gracefully; the future completes when the process may exit. */
    public CompletableFuture<Void> leave() {
        return control.leave();
    }

    /** Stops immediately, without waiting for requests in progress. */
    @Override
    public void close() {
        traffic.close();
        admin.close();
        control.close();
        client.close();
    }
}
