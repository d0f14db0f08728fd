package io.hornbeamfield.core.search;

import io.hornbeamfield.core.identity.RequestKey;
import java.util.HashSet;
import java.util.Set;

/** A request of a client that sends one attempt after the other, and what is known about it. */
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
    /** An attempt ended without an answer, so that a later "not run" says nothing about that attempt. */
    boolean uncertain;

    boolean toldNotRun;

    Request(RequestKey key, int owner, int budget, long tokens, boolean repeatable) {
        this.key = key;
        this.owner = owner;
        this.budget = budget;
        this.tokens = tokens;
        this.repeatable = repeatable;
    }
}
