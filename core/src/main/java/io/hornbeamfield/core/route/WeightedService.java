package io.hornbeamfield.core.route;

/** A service and its weight relative to those of the other services of a route. */
public record WeightedService(String service, int weight) {}
