package io.hornbeamfield.load.policy;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the engines produced for one budget. */
final class BudgetTruth {
    /** A request that an engine is running. */
    record Run(SimRouter router, Trace.Request request, long startedMs) {}

    final Set<Run> running = new LinkedHashSet<>();
    long granted;
    long produced;
    long overspend;
    double tailUsable = -1;
    private final Map<SimRouter, Long> byRouter = new IdentityHashMap<>();

    void produced(SimRouter router, long tokens) {
        produced += tokens;
        byRouter.merge(router, tokens, Long::sum);
    }

    long producedBy(SimRouter router) {
        return byRouter.getOrDefault(router, 0L);
    }

    /** Returns the granted tokens that no engine has produced yet; a running request produces evenly. */
    long remaining(long nowMs) {
        long partly = 0;
        for (Run run : running) {
            long elapsed = Math.min(nowMs - run.startedMs(), run.request().runMs());
            partly += run.request().used() * elapsed / run.request().runMs();
        }
        return granted - produced - partly;
    }

    List<Trace.Request> runningAt(SimRouter router) {
        List<Trace.Request> requests = new ArrayList<>();
        for (Run run : running) {
            if (run.router() == router) {
                requests.add(run.request());
            }
        }
        return requests;
    }

    /** Takes note of the share of the last 2% that was used, if the budget ran down to them for the first time. */
    void recordTail(long firstGrant, long nowMs) {
        double tail = firstGrant * 0.02;
        double left = remaining(nowMs) - (granted - firstGrant);
        if (tailUsable < 0 && granted == firstGrant && left <= tail) {
            tailUsable = 1 - left / tail;
        }
    }
}
