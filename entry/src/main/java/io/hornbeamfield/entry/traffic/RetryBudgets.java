package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.attempt.RetryShare;
import io.hornbeamfield.entry.EntrySettings;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Retry budget of each service, according to the active settings. */
final class RetryBudgets {
    private final Clock clock;
    private final Supplier<EntrySettings> settings;
    private final IntSupplier instances;
    private final Map<String, RetryShare> budgets = new HashMap<>();
    private EntrySettings applied;

    RetryBudgets(Clock clock, Supplier<EntrySettings> settings, IntSupplier instances) {
        this.clock = clock;
        this.settings = settings;
        this.instances = instances;
        this.applied = settings.get();
    }

    void requestArrived(String service) {
        budget(service).requestArrived();
    }

    boolean tryRetry(String service) {
        return budget(service).tryRetry(instances.getAsInt());
    }

    /** Returns whether a retry would be allowed now, without consuming any budget. */
    boolean mayRetry(String service) {
        return budget(service).mayRetry(instances.getAsInt());
    }

    private RetryShare budget(String service) {
        EntrySettings now = settings.get();
        if (!now.equals(applied)) {
            applied = now;
            budgets.values().forEach(s -> s.updateLimit(now.retryRatio(), now.retrySlack(), now.retryWindowMs()));
        }
        return budgets.computeIfAbsent(
                service, s -> new RetryShare(clock, now.retryRatio(), now.retrySlack(), now.retryWindowMs()));
    }
}
