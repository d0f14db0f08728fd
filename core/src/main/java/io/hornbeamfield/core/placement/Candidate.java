package io.hornbeamfield.core.placement;

/**
 * A backend server that could run a request, as this instance sees it.
 *
 * @param id id of the server
 * @param slots requests that it runs at once
 * @param outstanding requests of this instance that it has not finished
 * @param promptTokensAhead prompt tokens of this instance's requests there that have not got their first event
 * @param eventIntervalMs time between two events of this instance's streams there
 */
public record Candidate(String id, int slots, int outstanding, long promptTokensAhead, double eventIntervalMs) {

    /** Returns a candidate without observations. */
    public static Candidate of(String id, int slots, int outstanding, long promptTokensAhead) {
        return new Candidate(id, slots, outstanding, promptTokensAhead, 0);
    }
}
