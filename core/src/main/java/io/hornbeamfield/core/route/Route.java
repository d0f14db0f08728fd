package io.hornbeamfield.core.route;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * A route, which matches the requests to one host whose path starts with a prefix.
 *
 * @param name name in the configuration
 * @param host host of the requests, in lower case
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param retryPolicy whether a request may run more than once
 * @param services services that serve the route, at least one
 * @param maxAttempts largest number of backend servers that one request may be sent to
 * @param timeoutMs longest time until the answer is complete, in milliseconds
 * @param objectiveMs latency objective in milliseconds: time to the complete answer, or to the first event of a stream
 * @param eventPauseMs longest pause between two events of a stream that is still on time, in milliseconds; 0 if none is
 *     declared
 * @param priority priority of the requests; 0 is the most urgent
 * @param open whether requests need no key
 * @param homeRegions regions that the requests may reach
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RetryPolicy retryPolicy,
        List<WeightedService> services,
        int maxAttempts,
        long timeoutMs,
        long objectiveMs,
        long eventPauseMs,
        int priority,
        boolean open,
        HomeRegions homeRegions) {

    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("Route \"" + name + "\" has no services. Configure at least one.");
        }
    }

    /** Creates a route whose requests may reach all regions. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RetryPolicy retryPolicy,
            List<WeightedService> services,
            int maxAttempts,
            long timeoutMs,
            long objectiveMs,
            long eventPauseMs,
            int priority,
            boolean open) {
        this(
                name,
                host,
                pathPrefix,
                retryPolicy,
                services,
                maxAttempts,
                timeoutMs,
                objectiveMs,
                eventPauseMs,
                priority,
                open,
                HomeRegions.ANY);
    }

    /** Returns the longest time until the answer is complete in milliseconds, an hour if none is configured. */
    public long maxDurationMs() {
        return timeoutMs > 0 ? timeoutMs : TimeUnit.HOURS.toMillis(1);
    }

    /** Picks a service at random, in proportion to the weights. */
    public String pickService(RandomGenerator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (services.size() == 1 || total <= 0) {
            return services.get(0).service();
        }
        int remaining = random.nextInt(total);
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
