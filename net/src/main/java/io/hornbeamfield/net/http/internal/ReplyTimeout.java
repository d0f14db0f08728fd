package io.hornbeamfield.net.http.internal;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Ends a call whose response is not complete in time; one that keeps arriving may get more time. */
final class ReplyTimeout {
    private final ScheduledExecutorService timer;
    private final HttpCall call;
    private final Exchange exchange;
    private Duration elapsed;
    private long receivedBytes;
    private boolean cancelled;
    private Future<?> task;

    private ReplyTimeout(ScheduledExecutorService timer, HttpCall call, Exchange exchange) {
        this.timer = timer;
        this.call = call;
        this.exchange = exchange;
        this.elapsed = call.timeout();
        this.task = schedule(elapsed);
    }

    static ReplyTimeout start(ScheduledExecutorService timer, HttpCall call, Exchange exchange) {
        return new ReplyTimeout(timer, call, exchange);
    }

    private Future<?> schedule(Duration delay) {
        return timer.schedule(this::onElapsed, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void onElapsed() {
        long received = exchange.receivedBytes();
        Duration left = call.receivingTimeout().minus(elapsed);
        if (received == receivedBytes || left.isZero() || left.isNegative()) {
            // In a task of its own: the end of the call cancels this timeout under other locks.
            Duration limit = elapsed;
            timer.execute(() -> exchange.fail(failure(call, limit)));
        } else if (!cancelled) {
            receivedBytes = received;
            Duration next = left.compareTo(call.timeout()) < 0 ? left : call.timeout();
            elapsed = elapsed.plus(next);
            task = schedule(next);
        }
    }

    synchronized void cancel() {
        cancelled = true;
        task.cancel(false);
    }

    static CallFailure failure(HttpCall call, Duration limit) {
        return new CallFailure(
                CallFailure.Kind.TIMED_OUT,
                call.method() + " " + call.uri() + " got no answer within " + limit.toMillis() + " ms.");
    }
}
