package io.hornbeamfield.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
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
 * Reads one streamed answer. It is whole when the end marker came and every token of the usage arrived; an event with
 * the id of another request breaks the stream.
 */
final class ChatStream implements StreamListener {
    private final String key;
    private final AnswerText text;
    private final Executor executor;
    private final Consumer<TryEnd> onEnd;
    private final EventStreamParser parser = new EventStreamParser(this::event);
    private final ByteArrayOutputStream problem = new ByteArrayOutputStream();
    private @Nullable OpenStream open;
    private Map<String, String> headers = Map.of();
    private int status;
    private long promptTokens;
    private long completionTokens = -1;
    private long lastProgressNanos = System.nanoTime();
    private long lastSeenProgress = lastProgressNanos;
    private boolean ended;

    ChatStream(String key, AnswerText text, Executor executor, Consumer<TryEnd> onEnd) {
        this.key = key;
        this.text = text;
        this.executor = executor;
        this.onEnd = onEnd;
    }

    void opened(OpenStream connection) {
        open = connection;
    }

    /** Ends the try when nothing arrives for the given time or the time left has passed. */
    void breakOnSilence(ScheduledExecutorService timer, Duration silence, Duration left) {
        long step = Math.max(1, Math.min(silence.toMillis(), left.toMillis()));
        timer.schedule(
                () -> run(() -> {
                    long quiet = (System.nanoTime() - lastProgressNanos) / 1_000_000;
                    long rest = left.toMillis() - step;
                    if (quiet >= silence.toMillis() || rest <= 0) {
                        end(new TryEnd.Broken("Nothing arrived for " + quiet + " ms."));
                    } else {
                        breakOnSilence(timer, silence, Duration.ofMillis(rest));
                    }
                }),
                step,
                TimeUnit.MILLISECONDS);
    }

    /** Ends the try when the router does not answer any more. */
    void breakIfDead(SilenceWatch watch) {
        watch.start(
                () -> ended,
                () -> {
                    boolean progressed = lastProgressNanos != lastSeenProgress;
                    lastSeenProgress = lastProgressNanos;
                    return progressed;
                },
                () -> end(new TryEnd.RouterDead("The router does not answer any more.")));
    }

    @Override
    public void onHead(int code, Map<String, String> fields) {
        run(() -> {
            status = code;
            headers = fields;
            String run = fields.get("hornbeamfield-run");
            if (code == 200 && run != null) {
                text.answeredBy(run);
            }
        });
    }

    @Override
    public void onData(byte[] chunk) {
        run(() -> {
            lastProgressNanos = System.nanoTime();
            if (status != 200) {
                problem.writeBytes(chunk);
                return;
            }
            try {
                parser.feed(chunk);
            } catch (RuntimeException e) {
                end(new TryEnd.Broken("The router sent an event that cannot be read: " + e));
            }
        });
    }

    private void event(String name, String data) {
        if (ended) {
            return;
        }
        if (data.equals("[DONE]")) {
            boolean whole = completionTokens == text.next();
            end(
                    whole
                            ? new TryEnd.Whole(text.answered(promptTokens, completionTokens))
                            : new TryEnd.Broken(
                                    "The answer has " + text.next() + " of " + completionTokens + " tokens."));
            return;
        }
        JsonNode node = Json.parse(data.getBytes(StandardCharsets.UTF_8));
        if (name.equals("error")) {
            end(ProblemReader.read(node, Map.of())
                    .<TryEnd>map(TryEnd.Refused::new)
                    .orElseGet(() -> new TryEnd.Broken(data)));
        } else if (!node.path("id").asText().equals(key)) {
            end(new TryEnd.Broken("The event belongs to request " + node.path("id") + "."));
        } else {
            part(node);
        }
    }

    private void part(JsonNode node) {
        JsonNode content = node.path("choices").path(0).path("delta").path("content");
        if (content.isTextual() && !text.add(node.path("offset").asLong(), content.asText())) {
            end(new TryEnd.Broken("Parts before offset " + node.path("offset") + " are missing."));
        }
        if (node.has("usage")) {
            promptTokens = node.path("usage").path("prompt_tokens").asLong();
            completionTokens = node.path("usage").path("completion_tokens").asLong();
        }
    }

    @Override
    public void onEnd() {
        run(() -> end(
                status == 200
                        ? new TryEnd.Broken("The answer ended too early.")
                        : ProblemReader.read(problem.toByteArray(), headers)
                                .<TryEnd>map(TryEnd.Refused::new)
                                .orElseGet(() -> new TryEnd.Broken("The router answered " + status + "."))));
    }

    @Override
    public void onFailure(CallFailure failure) {
        String reason = String.valueOf(failure.getMessage());
        run(() -> end(failure.nothingSent() ? new TryEnd.NotSent(reason) : new TryEnd.Broken(reason)));
    }

    private void end(TryEnd result) {
        if (ended) {
            return;
        }
        ended = true;
        OpenStream connection = open;
        if (connection != null) {
            connection.cancel();
        }
        onEnd.accept(result);
    }

    private void run(Runnable action) {
        executor.execute(() -> {
            if (!ended) {
                action.run();
            }
        });
    }
}
