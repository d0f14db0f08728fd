package io.hornbeamfield.core.route;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A route: requests of one host whose path begins with a prefix.
 *
 * @param name name in the configuration
 * @param host host of the requests, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param retryPolicy what may be repeated
 * @param services at least one
 * @param maxAttempts most backend servers that one request may be sent to
 * @param timeoutMs longest time until the final answer
 * @param objectiveMs latency objective: to the whole answer, or to the first event of a stream
 * @param priority 0 is the most urgent
 * @param open whether requests need no key
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
        int priority,
        boolean open) {

    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("Route \"" + name + "\" names no service. Name at least one.");
        }
    }

    /** Picks a service by weight. */
    public String pickService(RandomGenerator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (services.size() == 1 || total <= 0) {
            return services.get(0).service();
        }
        int left = random.nextInt(total);
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
