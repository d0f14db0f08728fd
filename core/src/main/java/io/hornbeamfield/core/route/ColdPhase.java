package io.hornbeamfield.core.route;

/**
 * The time after the start of a backend server in which it tolerates few requests.
 *
 * @param durationMs length of the phase
 * @param requestsPerSecond requests per second of all instances together that the server tolerates in that phase
 */
public record ColdPhase(long durationMs, double requestsPerSecond) {}
