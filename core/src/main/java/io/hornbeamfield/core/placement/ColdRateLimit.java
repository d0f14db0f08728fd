package io.hornbeamfield.core.placement;

/**
 * Bound on the requests that a cold server gets in any second from all instances together.
 *
 * @param factor multiple of the rate that the service declares for a cold server
 * @param slack requests in addition
 */
public record ColdRateLimit(double factor, double slack) {
    /** Returns the bound for a service that declares the given rate of requests per second. */
    public double requestsPerSecond(double declaredPerSecond) {
        return declaredPerSecond * factor + slack;
    }
}
