package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.OpenStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Streams one engine request, and resumes it at its offset on a fresh connection when the connection breaks or makes no
 * progress. Events of a connection that was given up are ignored.
 */
final class ModelAttempt implements Attempt {
    /** An engine that accepts the connection but sends nothing in this many resumes is treated as failed. */
    private static final int MAX_RESUMES_WITHOUT_PROGRESS = 6;

    /** A dead engine refuses connections at once, a restarting one for a moment. */
    private static final int MAX_FAILED_CONNECTS = 2;

    /** The finish reason of a stream that another party cancelled; its text is not whole. */
    private static final String CANCELLED = "cancelled";

    private static final long RECONNECT_MS = 250;

    private final EngineCalls engine;
    private final CallerRequest request;
    private final Work.Model work;
    private final Duration silence;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Listener listener;
    private @Nullable OpenStream open;
    private int connection;
    private long next;
    private long lastProgressNanos;
    private int resumesWithoutProgress;
    private int failedConnects;
    private boolean ended;
    private Optional<String> finishReason = Optional.empty();
    private Optional<Usage> usage = Optional.empty();

    ModelAttempt(
            EngineCalls engine,
            CallerRequest request,
            Work.Model work,
            Duration silence,
            Executor executor,
            ScheduledExecutorService timer,
            Listener listener) {
        this.engine = engine;
        this.request = request;
        this.work = work;
        this.silence = silence;
        this.executor = executor;
        this.timer = timer;
        this.listener = listener;
    }

    @Override
    public void start() {
        lastProgressNanos = System.nanoTime();
        // The silence check replaces the response timeout: a queued request is asked for again, not given up.
        open = engine.start(
                request.workspace(), request.priority(), work.engineBody(), headTimeout(), connectionListener());
        checkSilenceIn(silence.toNanos());
    }

    private Duration headTimeout() {
        return silence.multipliedBy(2);
    }

    private EngineConnection connectionListener() {
        int number = ++connection;
        return new EngineConnection(this, number, executor);
    }

    private void checkSilenceIn(long nanos) {
        timer.schedule(() -> executor.execute(this::checkSilence), nanos, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        long left = silence.toNanos() - (System.nanoTime() - lastProgressNanos);
        if (left <= 0) {
            resume();
            left = silence.toNanos();
        }
        if (!ended) {
            checkSilenceIn(left);
        }
    }

    private void resume() {
        if (++resumesWithoutProgress > MAX_RESUMES_WITHOUT_PROGRESS) {
            fail("The engine sent nothing in " + MAX_RESUMES_WITHOUT_PROGRESS + " resumed streams.");
            return;
        }
        closeConnection();
        lastProgressNanos = System.nanoTime();
        open = engine.resume(next, headTimeout(), connectionListener());
    }

    private void closeConnection() {
        connection++;
        OpenStream current = open;
        if (current != null) {
            current.cancel();
        }
        open = null;
    }

    boolean isCurrent(int number) {
        return !ended && number == connection;
    }

    void head(int status) {
        if (status == 200) {
            failedConnects = 0;
        } else if (connection == 1) {
            declined(status);
        } else {
            fail("The engine answered " + status + " when the stream was resumed.");
        }
    }

    private void declined(int status) {
        boolean busy = status == 429 || status == 503;
        if (busy || status == 404) {
            ResultCode code = busy ? ResultCode.OVERLOADED : ResultCode.NO_BACKEND;
            end(new AttemptEnd.Declined(
                    Refusal.of(code, "The engine answered " + status + ". Retry later.")
                            .retryAfter(1),
                    true));
        } else if (status / 100 == 4) {
            end(new AttemptEnd.Declined(
                    Refusal.of(
                            ResultCode.MALFORMED_REQUEST,
                            "The engine answered " + status + ". Check the messages and the limits."),
                    false));
        } else {
            fail("The engine answered " + status + ".");
        }
    }

    void event(EngineEvent event) {
        if (event.done()) {
            finish();
            return;
        }
        if (event.content().isPresent()) {
            if (event.offset() > next) {
                resume();
                return;
            }
            if (event.offset() == next) {
                progress();
                listener.content(new Chunk(next, event.content().get()));
                next++;
            }
        }
        event.finishReason().ifPresent(reason -> finishReason = Optional.of(reason));
        event.usage().ifPresent(u -> usage = Optional.of(u));
    }

    private void progress() {
        lastProgressNanos = System.nanoTime();
        resumesWithoutProgress = 0;
    }

    /** The answer is whole when the engine ended the stream and every token that it counted has arrived. */
    private void finish() {
        if (usage.isPresent() && finishReason.equals(Optional.of(CANCELLED))) {
            Refusal refusal = Refusal.of(ResultCode.BACKEND_FAILED, "The engine cancelled the request. Retry.");
            end(new AttemptEnd.Failed(refusal, usage.get().total()));
            return;
        }
        if (usage.isPresent() && usage.get().completionTokens() == next) {
            end(new AttemptEnd.Done(
                    new AnswerEnd.Model(finishReason.orElse("stop"), usage.get()),
                    usage.get().total()));
        } else {
            resume();
        }
    }

    void broken(CallFailure failure) {
        if (failure.nothingSent()) {
            failedConnect(String.valueOf(failure.getMessage()));
        } else {
            resume();
        }
    }

    private void failedConnect(String reason) {
        if (connection == 1) {
            end(new AttemptEnd.NotSent(
                    Refusal.of(ResultCode.NO_BACKEND, reason + " Retry later.").retryAfter(1)));
        } else if (++failedConnects >= MAX_FAILED_CONNECTS) {
            fail(reason);
        } else {
            closeConnection();
            int given = connection;
            timer.schedule(() -> executor.execute(() -> resumeUnlessMoved(given)), RECONNECT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeUnlessMoved(int given) {
        if (isCurrent(given)) {
            resume();
        }
    }

    private void fail(String reason) {
        Refusal refusal = Refusal.of(
                ResultCode.BACKEND_FAILED, reason + " Send it as a new request if a second run does no harm.");
        stopAndLearnUsage(spent -> new AttemptEnd.Failed(refusal, spent));
    }

    @Override
    public void cancel() {
        if (!ended) {
            stopAndLearnUsage(AttemptEnd.Cancelled::new);
        }
    }

    /** An attempt whose usage cannot be learnt stays fully spent. */
    private void stopAndLearnUsage(java.util.function.LongFunction<AttemptEnd> endOf) {
        ended = true;
        closeConnection();
        engine.cancel()
                .thenAcceptAsync(
                        learnt -> listener.ended(
                                endOf.apply(learnt.map(Usage::total).orElse(work.worstCaseTokens()))),
                        executor);
    }

    private void end(AttemptEnd end) {
        ended = true;
        closeConnection();
        listener.ended(end);
    }
}
