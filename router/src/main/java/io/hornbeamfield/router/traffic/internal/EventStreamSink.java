package io.hornbeamfield.router.traffic.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ProblemDetails;
import io.hornbeamfield.net.http.ResponseStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * Sends a model answer as server-sent events. Writes run on their own executor, so that a slow caller delays no one
 * else. The response head is sent with the first chunk, so that a refusal before it has its own HTTP status.
 */
final class EventStreamSink implements AnswerSink {
    private final HttpExchange exchange;
    private final String id;
    private final String run;
    private final Executor executor;
    private @Nullable ResponseStream stream;

    EventStreamSink(HttpExchange exchange, String id, String run, Executor executor) {
        this.exchange = exchange;
        this.id = id;
        this.run = run;
        this.executor = executor;
    }

    @Override
    public boolean isStreaming() {
        return true;
    }

    @Override
    public void chunk(Chunk chunk) {
        executor.execute(() -> write(startedStream(), event(chunk.offset(), Optional.of(chunk.content()))));
    }

    @Override
    public void end(AnswerOutcome end, List<Chunk> allChunks) {
        executor.execute(() -> {
            if (end instanceof AnswerOutcome.Model model) {
                finish(model, allChunks.size());
            } else if (end instanceof AnswerOutcome.Refused refused) {
                refuse(refused);
            }
        });
    }

    private void finish(AnswerOutcome.Model model, long offset) {
        ResponseStream s = startedStream();
        ObjectNode last = event(offset, Optional.empty());
        ((ObjectNode) last.path("choices").path(0)).put("finish_reason", model.finishReason());
        last.set("usage", ModelJson.usage(model.usage()));
        write(s, last);
        s.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        s.end();
    }

    private void refuse(AnswerOutcome.Refused refused) {
        ResponseStream s = stream;
        if (s == null) {
            ProblemDetails.reply(exchange, refused.refusal());
            return;
        }
        s.write(("event: error\ndata: " + ProblemDetails.tree(refused.refusal()) + "\n\n")
                .getBytes(StandardCharsets.UTF_8));
        s.end();
    }

    private ResponseStream startedStream() {
        ResponseStream s = stream;
        if (s == null) {
            s = exchange.startStream(
                    200,
                    Map.of(
                            "Content-Type",
                            "text/event-stream",
                            "Cache-Control",
                            "no-store",
                            CallerHeaders.KEY,
                            id,
                            CallerHeaders.RUN,
                            run));
            stream = s;
        }
        return s;
    }

    private ObjectNode event(long offset, Optional<String> content) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("id", id);
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        content.ifPresent(text -> delta.put("content", text));
        choice.putNull("finish_reason");
        node.put("offset", offset);
        return node;
    }

    private static void write(ResponseStream s, ObjectNode event) {
        s.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
