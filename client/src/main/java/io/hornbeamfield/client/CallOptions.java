package io.hornbeamfield.client;

import io.hornbeamfield.core.config.Priority;
import java.time.Duration;
import java.util.Optional;

/**
 * What model requests and service calls have in common.
 *
 * <pre>{@code
 * CallOptions.defaults().withDeadline(Duration.ofSeconds(5)).withBudget("harvest");
 * }</pre>
 */
public record CallOptions(Optional<String> budget, Optional<Priority> priority, Duration deadline) {
    private static final CallOptions DEFAULTS =
            new CallOptions(Optional.empty(), Optional.empty(), Duration.ofSeconds(60));

    /** Returns the first budget of the workspace, its own priority and a deadline of one minute. */
    public static CallOptions defaults() {
        return DEFAULTS;
    }

    /** Returns these options with a named budget. */
    public CallOptions withBudget(String name) {
        return new CallOptions(Optional.of(name), priority, deadline);
    }

    /** Returns these options with a priority; it cannot be above that of the workspace. */
    public CallOptions withPriority(Priority value) {
        return new CallOptions(budget, Optional.of(value), deadline);
    }

    /** Returns these options with another time limit for all attempts together. */
    public CallOptions withDeadline(Duration limit) {
        return new CallOptions(budget, priority, limit);
    }
}
