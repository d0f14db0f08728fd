package io.hornbeamfield.load.policy;

import io.hornbeamfield.core.budget.Allotment;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.DemandRate;
import io.hornbeamfield.core.budget.ScarcityPolicy;
import java.util.ArrayDeque;
import java.util.Deque;

/** What a simulated router knows about one budget. */
final class BudgetAtRouter {
    /** A request that waits for tokens until its deadline. */
    record Waiting(Trace.Request request, long deadlineMs) {}

    final int index;
    final Allotment allotment;
    final DemandRate rate;
    final Deque<Waiting> waiting = new ArrayDeque<>();
    long waitingTokens;
    BudgetRecord seen;
    long version;
    long seenAtMs;
    long nextPeerRoundMs;
    boolean known;
    boolean busy;
    boolean watching;
    boolean asking;
    final ScarcityPolicy scarcity = new ScarcityPolicy();

    BudgetAtRouter(int index, Allotment allotment, DemandRate rate, BudgetRecord seen) {
        this.index = index;
        this.allotment = allotment;
        this.rate = rate;
        this.seen = seen;
    }

    /** Returns the tokens that the smallest waiting request lacks, or 0 when none waits. */
    long smallestLack() {
        long smallest =
                waiting.stream().mapToLong(w -> w.request().reserve()).min().orElse(0);
        return Math.max(0, smallest - allotment.available());
    }
}
