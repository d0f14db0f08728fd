package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.attempt.InputAllowance;
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
 * Streams one engine request. When the connection breaks or makes no progress, the stream is resumed at the next offset
 * on a fresh connection, and events of the abandoned connection are ignored.
 */
final class ModelAttempt implements Attempt {
    /** An engine that accepts connections but sends no new token in this many consecutive resumes counts as failed. */
    private static final int MAX_RESUMES_WITHOUT_PROGRESS = 6;

    /** A dead engine keeps refusing connections, a restarting one only for a moment. */
    private static final int MAX_CONNECT_FAILURES = 2;

    /** Finish reason of a stream that another party cancelled; its text is incomplete. */
    private static final String FINISH_REASON_CANCELLED = "cancelled";

    private static final long RECONNECT_DELAY_MS = 250;

    /** Tokens above the limit of the request, which an engine may count differently. */
    private static final int MAX_EXTRA_TOKENS = 16;

    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** Memory of a token beside its text. */
    private static final int TOKEN_COST_BYTES = 64;

    private final EngineClient engine;
    private final CallerRequest request;
    private final Work.Model work;
    private final Duration silenceTimeout;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final Listener listener;
    private final InputAllowance answerAllowance = new InputAllowance(MAX_ANSWER_BYTES, TOKEN_COST_BYTES);
    private @Nullable OpenStream stream;
    private int connectionNumber;
    private long nextOffset;
    private long lastProgressNanos;
    private int resumesWithoutProgress;
    private int connectFailures;
    private boolean ended;
    private boolean accepted;
    private Optional<String> finishReason = Optional.empty();
    private Optional<Usage> usage = Optional.empty();

    ModelAttempt(
            EngineClient engine,
            CallerRequest request,
            Work.Model work,
            Duration silenceTimeout,
            Executor executor,
            ScheduledExecutorService timer,
            Listener listener) {
        this.engine = engine;
        this.request = request;
        this.work = work;
        this.silenceTimeout = silenceTimeout;
        this.executor = executor;
        this.timer = timer;
        this.listener = listener;
    }

    @Override
    public void start() {
        lastProgressNanos = System.nanoTime();
        // The silence check replaces a response timeout: a request that is still queued is resumed, not failed.
        stream = engine.start(
                request.workspace(),
                request.priority(),
                work.engineBody(),
                headTimeout(),
                executor,
                newStreamListener());
        checkSilenceIn(silenceTimeout.toNanos());
    }

    private Duration headTimeout() {
        return silenceTimeout.multipliedBy(2);
    }

    private EngineStreamListener newStreamListener() {
        int number = ++connectionNumber;
        return new EngineStreamListener(this, number);
    }

    private void checkSilenceIn(long nanos) {
        timer.schedule(() -> executor.execute(this::checkSilence), nanos, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        long left = silenceTimeout.toNanos() - (System.nanoTime() - lastProgressNanos);
        if (left <= 0) {
            resume();
            left = silenceTimeout.toNanos();
        }
        if (!ended) {
            checkSilenceIn(left);
        }
    }

    private void resume() {
        if (++resumesWithoutProgress > MAX_RESUMES_WITHOUT_PROGRESS) {
            failLost("The engine sent no new token in " + MAX_RESUMES_WITHOUT_PROGRESS
                    + " resumed streams; the stream stopped at offset " + nextOffset + ".");
            return;
        }
        closeConnection();
        lastProgressNanos = System.nanoTime();
        stream = engine.resume(nextOffset, headTimeout(), executor, newStreamListener());
    }

    private void closeConnection() {
        connectionNumber++;
        OpenStream current = stream;
        if (current != null) {
            current.cancel();
        }
        stream = null;
    }

    long nextOffset() {
        return nextOffset;
    }

    boolean isCurrent(int number) {
        return !ended && number == connectionNumber;
    }

    void onHead(int status) {
        if (status == 200) {
            connectFailures = 0;
            accepted = true;
        } else if (connectionNumber == 1) {
            onErrorStatus(status);
        } else {
            failLost("The engine answered " + status + " when the stream was resumed at offset " + nextOffset + ".");
        }
    }

    private void onErrorStatus(int status) {
        boolean busy = status == 429 || status == 503;
        if (busy || status == 404) {
            ResultCode code = busy ? ResultCode.OVERLOADED : ResultCode.NO_BACKEND;
            end(new AttemptOutcome.Declined(
                    Refusal.of(code, "The engine answered " + status + ". Retry later.")
                            .retryAfter(1),
                    true));
        } else if (status / 100 == 4) {
            end(new AttemptOutcome.Declined(
                    Refusal.of(
                            ResultCode.MALFORMED_REQUEST,
                            "The engine answered " + status + ". Check the messages and the limits."),
                    false));
        } else {
            fail("The engine answered " + status + ".", false);
        }
    }

    void onEvent(EngineEvent event) {
        if (event.done()) {
            finish();
            return;
        }
        if (event.content().isPresent()) {
            if (event.offset() > nextOffset) {
                resume();
                return;
            }
            if (event.offset() == nextOffset) {
                if (exceedsLimits(event.content().get())) {
                    return;
                }
                recordProgress();
                listener.content(new Chunk(nextOffset, event.content().get()));
                nextOffset++;
            }
        }
        event.finishReason().ifPresent(reason -> finishReason = Optional.of(reason));
        event.usage().ifPresent(u -> usage = Optional.of(u));
    }

    /** Fails if a token is beyond what the answer can have; the engine would send such tokens again when resumed. */
    private boolean exceedsLimits(String content) {
        if (nextOffset >= work.maxTokens() + MAX_EXTRA_TOKENS) {
            fail("The engine sent more than the " + work.maxTokens() + " tokens of the request.", false);
        } else if (!answerAllowance.charge(2 * content.length())) {
            fail("The engine sent an answer of more than " + MAX_ANSWER_BYTES + " bytes.", false);
        }
        return ended;
    }

    private void recordProgress() {
        lastProgressNanos = System.nanoTime();
        resumesWithoutProgress = 0;
    }

    /**
     * Ends the attempt. The answer is complete when the engine ended the stream and every token that it counted has
     * arrived.
     */
    private void finish() {
        if (usage.isPresent() && finishReason.equals(Optional.of(FINISH_REASON_CANCELLED))) {
            Refusal refusal = Refusal.of(ResultCode.BACKEND_FAILED, "The engine cancelled the request. Retry.");
            long used = usage.get().total();
            end(new AttemptOutcome.Failed(refusal, used, used, false));
            return;
        }
        if (usage.isPresent() && usage.get().completionTokens() == nextOffset) {
            end(new AttemptOutcome.Done(
                    new AnswerOutcome.Model(finishReason.orElse("stop"), usage.get()),
                    usage.get().total()));
        } else {
            resume();
        }
    }

    void onConnectionLost(CallFailure failure) {
        if (failure.nothingSent()) {
            onConnectFailure(String.valueOf(failure.getMessage()));
        } else {
            resume();
        }
    }

    private void onConnectFailure(String reason) {
        if (connectionNumber == 1) {
            end(new AttemptOutcome.NotSent(
                    Refusal.of(ResultCode.NO_BACKEND, reason + " Retry later.").retryAfter(1)));
        } else if (++connectFailures >= MAX_CONNECT_FAILURES) {
            failLost(reason);
        } else {
            closeConnection();
            int expectedConnection = connectionNumber;
            timer.schedule(
                    () -> executor.execute(() -> resumeIfCurrent(expectedConnection)),
                    RECONNECT_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void resumeIfCurrent(int expectedConnection) {
        if (isCurrent(expectedConnection)) {
            resume();
        }
    }

    /** Fails because the engine ended the request, or ended with it. */
    private void failLost(String reason) {
        fail(reason, nextOffset == 0);
    }

    private void fail(String reason, boolean lost) {
        Refusal refusal = Refusal.of(
                ResultCode.BACKEND_FAILED, reason + " Send it as a new request if running it twice is safe.");
        cancelAndReportUsage((spent, billed) -> new AttemptOutcome.Failed(refusal, spent, billed, lost));
    }

    @Override
    public void cancel() {
        if (!ended) {
            cancelAndReportUsage(AttemptOutcome.Cancelled::new);
        }
    }

    /**
     * Cancels the engine request. If its usage cannot be learnt, the whole reservation counts as spent, because the
     * engine may still run it. It is billed only if the engine has accepted it: a request that never arrived at an
     * engine, for example because its connection was closed before it was written, must not appear on a bill.
     */
    private void cancelAndReportUsage(CancelledOutcome outcome) {
        ended = true;
        closeConnection();
        engine.cancel().thenAccept(reported -> executor.execute(() -> listener.ended(outcomeOf(reported, outcome))));
    }

    private AttemptOutcome outcomeOf(Optional<Usage> reported, CancelledOutcome outcome) {
        long spent = reported.map(Usage::total).orElse(work.worstCaseTokens());
        return outcome.of(spent, accepted || reported.isPresent() ? spent : 0);
    }

    /** Creates the outcome of a cancelled attempt from the tokens that it spent and those to bill. */
    @FunctionalInterface
    private interface CancelledOutcome {
        AttemptOutcome of(long spent, long billed);
    }

    private void end(AttemptOutcome end) {
        ended = true;
        closeConnection();
        listener.ended(end);
    }
}
