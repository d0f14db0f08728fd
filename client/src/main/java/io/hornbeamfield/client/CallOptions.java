package io.hornbeamfield.client;

import io.hornbeamfield.core.config.Priority;
import java.time.Duration;
import java.util.Optional;

/**
 * Options shared by model requests and service calls.
 *
 * <pre>{@code
 * CallOptions.defaults().withDeadline(Duration.ofSeconds(5)).withBudget("harvest");
 * }</pre>
 */
public record CallOptions(Optional<String> budget, Optional<Priority> priority, Duration deadline) {
    private static final CallOptions DEFAULTS =
            new CallOptions(Optional.empty(), Optional.empty(), Duration.ofSeconds(60));

    /**
     * Returns the defaults: the first budget of the workspace, the priority of the workspace and a deadline of 60 s.
     */
    public static CallOptions defaults() {
        return DEFAULTS;
    }

    /** Returns a copy of these options with the given budget. */
    public CallOptions withBudget(String name) {
        return new CallOptions(Optional.of(name), priority, deadline);
    }

    /** Returns a copy of these options with the given priority, which cannot exceed that of the workspace. */
    public CallOptions withPriority(Priority value) {
        return new CallOptions(budget, Optional.of(value), deadline);
    }

    /** Returns a copy of these options with the given time limit, which covers all attempts together. */
    public CallOptions withDeadline(Duration limit) {
        return new CallOptions(budget, priority, limit);
    }
}
