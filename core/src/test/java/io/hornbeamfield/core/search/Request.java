package io.hornbeamfield.core.search;

import io.hornbeamfield.core.identity.RequestKey;
import java.util.HashSet;
import java.util.Set;

/** A request whose client sends attempts one after the other, with the observed effects of all attempts. */
final class Request {
    final RequestKey key;
    final int owner;
    final int budget;
    final long tokens;
    final boolean repeatable;
    int runs;
    int bills;
    final Set<Integer> completedAt = new HashSet<>();
    int attempt;
    boolean waiting;
    boolean done;
    /** An attempt ended without a definite outcome, so a later "not run" response does not cover that attempt. */
    boolean outcomeUnknown;

    boolean refusedAsNotRun;

    Request(RequestKey key, int owner, int budget, long tokens, boolean repeatable) {
        this.key = key;
        this.owner = owner;
        this.budget = budget;
        this.tokens = tokens;
        this.repeatable = repeatable;
    }
}
