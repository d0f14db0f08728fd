package io.hornbeamfield.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.attempt.InputAllowance;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.EventStreamParser;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.StreamListener;
import io.hornbeamfield.net.json.Json;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads one streamed answer. The answer is complete if the end marker arrived and the number of received tokens equals
 * the completion tokens of the usage. An event with the id of another request ends the attempt as incomplete.
 */
final class ChatStream implements StreamListener {
    /** A router that sends more than this without a new part of the answer sends no answer. */
    private static final int MAX_INPUT_WITHOUT_TEXT = 512 * 1024;

    private static final int PART_COST_BYTES = 64;

    private final InputAllowance allowance = new InputAllowance(MAX_INPUT_WITHOUT_TEXT, PART_COST_BYTES);
    private final String key;
    private final AnswerText text;
    private final Executor executor;
    private final Consumer<AttemptResult> onResult;
    private final EventStreamParser parser = new EventStreamParser(this::handleEvent);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private @Nullable OpenStream openStream;
    private Map<String, String> headers = Map.of();
    private int status;
    private long promptTokens;
    private long completionTokens = -1;
    private long lastProgressNanos = System.nanoTime();
    private long lastCheckedProgressNanos = lastProgressNanos;
    private boolean ended;

    ChatStream(String key, AnswerText text, Executor executor, Consumer<AttemptResult> onResult) {
        this.key = key;
        this.text = text;
        this.executor = executor;
        this.onResult = onResult;
    }

    void setConnection(OpenStream connection) {
        openStream = connection;
    }

    /** Ends the attempt when no data arrives for the given time or when the remaining time has elapsed. */
    void failOnStall(ScheduledExecutorService timer, Duration silence, Duration remaining) {
        long delayMs = Math.max(1, Math.min(silence.toMillis(), remaining.toMillis()));
        timer.schedule(
                () -> runUnlessEnded(() -> {
                    long idleMs = (System.nanoTime() - lastProgressNanos) / 1_000_000;
                    long remainingMs = remaining.toMillis() - delayMs;
                    if (idleMs >= silence.toMillis() || remainingMs <= 0) {
                        finish(new AttemptResult.Incomplete("No data arrived for " + idleMs + " ms."));
                    } else {
                        failOnStall(timer, silence, Duration.ofMillis(remainingMs));
                    }
                }),
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    /** Ends the attempt when the router stops answering liveness probes. */
    void failIfUnresponsive(LivenessMonitor monitor) {
        monitor.start(
                () -> ended,
                () -> {
                    boolean progressed = lastProgressNanos != lastCheckedProgressNanos;
                    lastCheckedProgressNanos = lastProgressNanos;
                    return progressed;
                },
                () -> finish(new AttemptResult.RouterUnresponsive("The router stopped answering liveness probes.")));
    }

    @Override
    public void onHead(int code, Map<String, String> fields) {
        unlessEnded(() -> {
            status = code;
            headers = fields;
            String run = fields.get("hornbeamfield-run");
            if (code == 200 && run != null) {
                text.setRun(run);
            }
        });
    }

    @Override
    public void onData(byte[] chunk) {
        unlessEnded(() -> {
            lastProgressNanos = System.nanoTime();
            if (!allowance.charge(chunk.length)) {
                finish(new AttemptResult.Incomplete("The router sends without end and without a new part."));
                return;
            }
            if (status != 200) {
                errorBody.writeBytes(chunk);
                return;
            }
            try {
                parser.feed(chunk);
            } catch (RuntimeException e) {
                finish(new AttemptResult.Incomplete("The router sent an unreadable event: " + e));
            }
        });
    }

    private void handleEvent(String name, String data) {
        if (ended) {
            return;
        }
        if (data.equals("[DONE]")) {
            boolean complete = completionTokens == text.nextOffset();
            finish(
                    complete
                            ? new AttemptResult.Completed(text.answered(promptTokens, completionTokens))
                            : new AttemptResult.Incomplete("The answer is incomplete: got " + text.nextOffset() + " of "
                                    + completionTokens + " tokens."));
            return;
        }
        JsonNode node = Json.parse(data.getBytes(StandardCharsets.UTF_8));
        if (name.equals("error")) {
            finish(ProblemReader.read(node, Map.of())
                    .<AttemptResult>map(AttemptResult.Refused::new)
                    .orElseGet(() -> new AttemptResult.Incomplete(data)));
        } else if (!node.path("id").asText().equals(key)) {
            finish(new AttemptResult.Incomplete(
                    "The event belongs to another request: expected id " + key + ", got " + node.path("id") + "."));
        } else {
            handleContent(node);
        }
    }

    private void handleContent(JsonNode node) {
        JsonNode content = node.path("choices").path(0).path("delta").path("content");
        if (content.isTextual() && node.path("offset").asLong() == text.nextOffset()) {
            allowance.renew();
        }
        if (content.isTextual() && !text.add(node.path("offset").asLong(), content.asText())) {
            finish(new AttemptResult.Incomplete("Answer parts are missing: expected offset " + text.nextOffset()
                    + ", got " + node.path("offset") + "."));
        }
        if (text.isExcessive()) {
            finish(new AttemptResult.Incomplete("The router sent more than an answer of this request can have."));
        }
        if (node.has("usage")) {
            promptTokens = node.path("usage").path("prompt_tokens").asLong();
            completionTokens = node.path("usage").path("completion_tokens").asLong();
        }
    }

    @Override
    public void onEnd() {
        unlessEnded(() -> finish(
                status == 200
                        ? new AttemptResult.Incomplete(
                                "The stream ended without an end marker after " + text.nextOffset() + " tokens.")
                        : ProblemReader.read(errorBody.toByteArray(), headers)
                                .<AttemptResult>map(AttemptResult.Refused::new)
                                .orElseGet(() -> new AttemptResult.Incomplete("The router answered with status "
                                        + status + " and no readable problem details."))));
    }

    @Override
    public void onFailure(CallFailure failure) {
        String reason = String.valueOf(failure.getMessage());
        unlessEnded(() -> finish(
                failure.nothingSent() ? new AttemptResult.NotSent(reason) : new AttemptResult.Incomplete(reason)));
    }

    private void finish(AttemptResult result) {
        if (ended) {
            return;
        }
        ended = true;
        OpenStream connection = openStream;
        if (connection != null) {
            connection.cancel();
        }
        onResult.accept(result);
    }

    private void runUnlessEnded(Runnable action) {
        executor.execute(() -> unlessEnded(action));
    }

    private void unlessEnded(Runnable action) {
        if (!ended) {
            action.run();
        }
    }
}
