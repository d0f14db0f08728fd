package io.hornbeamfield.entry.traffic;

import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Queue of requests that wait until this instance holds enough tokens of the total of their workspace. */
final class PrepaidQueue {
    private final PrepaidHoldings book;
    private final Consumer<String> requestTokens;
    private final Map<String, Deque<WaitingRequest>> queues = new HashMap<>();

    /** Receives the outcome for a waiting request: exactly one call, unless the request is cancelled. */
    interface Outcome {
        /** The tokens are reserved. */
        void reserved();

        /** The remaining total does not cover the request. */
        void notCovered();

        /** The tokens cannot be acquired now. */
        void unavailable(long retryAfterMs);
    }

    /** A waiting request. */
    final class WaitingRequest {
        private final String workspace;
        private final long tokens;
        private final Outcome outcome;

        private WaitingRequest(String workspace, long tokens, Outcome outcome) {
            this.workspace = workspace;
            this.tokens = tokens;
            this.outcome = outcome;
        }

        /** Removes the request from the queue; its outcome is no longer reported. */
        void cancel() {
            if (queue(workspace).remove(this)) {
                book.stopWaiting(workspace, tokens);
            }
        }
    }

    /** Creates a queue; the action acquires tokens for a workspace and may be called from any thread. */
    PrepaidQueue(PrepaidHoldings book, Consumer<String> requestTokens) {
        this.book = book;
        this.requestTokens = requestTokens;
    }

    private Deque<WaitingRequest> queue(String workspace) {
        return queues.computeIfAbsent(workspace, n -> new ArrayDeque<>());
    }

    /** Enqueues a request and requests tokens for its workspace. */
    WaitingRequest add(String workspace, long tokens, Outcome outcome) {
        WaitingRequest w = new WaitingRequest(workspace, tokens, outcome);
        queue(workspace).add(w);
        book.startWaiting(workspace, tokens);
        requestTokens.accept(workspace);
        return w;
    }

    /** Reserves tokens for the requests that the holdings cover now. */
    void holdingsChanged() {
        for (Deque<WaitingRequest> queue : List.copyOf(queues.values())) {
            boolean served = false;
            for (WaitingRequest w : List.copyOf(queue)) {
                if (book.tryReserve(w.workspace, w.tokens)) {
                    w.cancel();
                    served = true;
                    w.outcome.reserved();
                }
            }
            if (!queue.isEmpty()) {
                String workspace = queue.getFirst().workspace;
                if (served || book.needsHigherLimit(workspace)) {
                    requestTokens.accept(workspace);
                }
            }
        }
    }

    /** Refuses the requests of a workspace that its total does not cover. */
    void exhausted(String workspace) {
        holdingsChanged();
        for (WaitingRequest w : List.copyOf(queue(workspace))) {
            if (book.available(workspace) < w.tokens) {
                w.cancel();
                w.outcome.notCovered();
            }
        }
    }

    /** Refuses all waiting requests of a workspace. */
    void unavailable(String workspace, long retryAfterMs) {
        holdingsChanged();
        for (WaitingRequest w : List.copyOf(queue(workspace))) {
            w.cancel();
            w.outcome.unavailable(retryAfterMs);
        }
    }

    int waiting() {
        return queues.values().stream().mapToInt(Deque::size).sum();
    }
}
