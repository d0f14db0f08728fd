package io.hornbeamfield.core.placement;

/**
 * A backend server that is eligible for a request, with the load that this instance has observed.
 *
 * @param id id of the server
 * @param slots number of requests that the server runs concurrently
 * @param outstanding requests of this instance in flight at the server
 * @param promptTokensAhead prompt tokens of this instance's requests at the server that are waiting for their first
 *     event
 * @param eventIntervalMs mean time between two events of this instance's streams from the server
 */
public record Candidate(String id, int slots, int outstanding, long promptTokensAhead, double eventIntervalMs) {

    /** Returns a candidate without an observed event interval. */
    public static Candidate of(String id, int slots, int outstanding, long promptTokensAhead) {
        return new Candidate(id, slots, outstanding, promptTokensAhead, 0);
    }
}
