package io.hornbeamfield.router;

import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.router.control.RouterControl;
import io.hornbeamfield.router.control.RouterSettings;
import io.hornbeamfield.router.traffic.Traffic;
import io.hornbeamfield.router.traffic.TrafficParts;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * A whole router: control, traffic and the admin interface.
 *
 * <pre>{@code
 * RouterProcess router = RouterProcess.start(settings);
 * router.leave().join();
 * router.close();
 * }</pre>
 */
public final class RouterProcess implements AutoCloseable {
    /** Bytes of kept answers; a router may use 128 MB besides the answers in progress. */
    private static final long MAX_OUTCOME_BYTES = 48L << 20;

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
                .inFlight(() -> openOf(started.get()))
                .start();
        traffic = Traffic.start(new TrafficParts(
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
                control.prefixes(),
                registryLimits(settings)));
        started.set(traffic);
        admin = new AdminApi(control, traffic, metrics, settings.operatorToken()).start(settings.adminAddress());
    }

    private static int openOf(@Nullable Traffic traffic) {
        return traffic == null ? 0 : traffic.open();
    }

    private static RegistryLimits registryLimits(RouterSettings settings) {
        return new RegistryLimits(
                settings.registryEntries(),
                MAX_OUTCOME_BYTES,
                MAX_OUTCOME_BYTES / 16,
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

    /** Stops at once. */
    @Override
    public void close() {
        traffic.close();
        admin.close();
        control.close();
        client.close();
    }
}
