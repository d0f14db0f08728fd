package io.hornbeamfield.standins.engine.internal;

import io.hornbeamfield.standins.engine.EngineRecord;
import io.hornbeamfield.standins.engine.ReplyText;
import java.util.ArrayList;
import java.util.List;

/** One execution of a request. Produces its tokens whether or not anyone still reads them. */
final class Run {
    private final ChatRequest request;
    private final ReplyText reply;
    private final long arrival;
    private final long startedMs;
    private final List<Runnable> observers = new ArrayList<>();
    private long prefillEndNanos;
    private int promptTokens;
    private int produced;
    private long endedMs;
    private String state = "waiting";

    Run(ChatRequest request, long arrival, long startedMs) {
        this.request = request;
        this.reply = request.reply();
        this.arrival = arrival;
        this.startedMs = startedMs;
    }

    ChatRequest request() {
        return request;
    }

    ReplyText reply() {
        return reply;
    }

    long arrival() {
        return arrival;
    }

    synchronized int produced() {
        return produced;
    }

    synchronized int promptTokens() {
        return promptTokens;
    }

    synchronized boolean ended() {
        return endedMs != 0;
    }

    synchronized String finishReason() {
        if (state.equals("cancelled")) {
            return "cancelled";
        }
        return produced == request.maxTokens() ? "length" : "stop";
    }

    /** Calls the action after each change. */
    synchronized void observe(Runnable action) {
        observers.add(action);
    }

    synchronized void startPrefill(long endNanos) {
        state = "running";
        promptTokens = request.promptTokens();
        prefillEndNanos = endNanos;
    }

    /** Produces a token if the prompt has been read; returns whether it was the last one. */
    boolean step(long nowNanos, long nowMs) {
        synchronized (this) {
            if (nowNanos - prefillEndNanos < 0) {
                return false;
            }
            produced++;
            if (produced == reply.tokens()) {
                state = "finished";
                endedMs = nowMs;
            }
        }
        notifyObservers();
        return ended();
    }

    void cancel(long nowMs) {
        synchronized (this) {
            if (endedMs != 0) {
                return;
            }
            state = "cancelled";
            endedMs = nowMs;
        }
        notifyObservers();
    }

    private void notifyObservers() {
        List<Runnable> copy;
        synchronized (this) {
            copy = List.copyOf(observers);
        }
        copy.forEach(Runnable::run);
    }

    synchronized EngineRecord record() {
        return new EngineRecord(
                request.id(),
                request.workspace(),
                ReplyText.identity(request.workspace(), request.messages()),
                request.model(),
                promptTokens,
                produced,
                request.maxTokens(),
                startedMs,
                endedMs,
                state);
    }
}
