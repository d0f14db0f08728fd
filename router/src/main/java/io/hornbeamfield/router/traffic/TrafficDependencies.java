package io.hornbeamfield.router.traffic;

import io.hornbeamfield.core.identity.RegistryLimits;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.router.BackendLoad;
import io.hornbeamfield.router.BillingService;
import io.hornbeamfield.router.Blackboard;
import io.hornbeamfield.router.BudgetService;
import io.hornbeamfield.router.CrashService;
import java.time.Clock;

/**
 * Dependencies of {@link Traffic} on the rest of the process. The secret is the one that all routers share.
 *
 * <pre>{@code
 * new TrafficDependencies("east-1-0f3a9c21", "127.0.0.1:8080", secret, clock, client, metrics, board, budgets,
 *         billing, load, crashes, prefixes, limits);
 * }</pre>
 */
public record TrafficDependencies(
        String incarnation,
        String callerAddress,
        String secret,
        Clock clock,
        HttpClient client,
        Metrics metrics,
        Blackboard board,
        BudgetService budgets,
        BillingService billing,
        BackendLoad load,
        CrashService crashes,
        PrefixIndex prefixes,
        RegistryLimits registryLimits) {}
