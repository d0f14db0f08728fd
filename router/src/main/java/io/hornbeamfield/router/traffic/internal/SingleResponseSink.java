package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ProblemDetails;
import io.hornbeamfield.net.json.Json;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/** Sends an answer as one response once it is complete. */
final class SingleResponseSink implements AnswerSink {
    private final HttpExchange exchange;
    private final String id;
    private final Executor executor;

    SingleResponseSink(HttpExchange exchange, String id, Executor executor) {
        this.exchange = exchange;
        this.id = id;
        this.executor = executor;
    }

    @Override
    public boolean isStreaming() {
        return false;
    }

    @Override
    public void chunk(Chunk chunk) {
        // The chunks are sent together by end().
    }

    @Override
    public void end(AnswerOutcome end, List<Chunk> allChunks) {
        executor.execute(() -> reply(end, allChunks));
    }

    private void reply(AnswerOutcome end, List<Chunk> allChunks) {
        if (end instanceof AnswerOutcome.Model model) {
            byte[] body = Json.bytes(ModelJson.completion(id, model, allChunks));
            exchange.reply(200, Map.of("Content-Type", "application/json", CallerHeaders.KEY, id), body);
        } else if (end instanceof AnswerOutcome.Service service) {
            exchange.reply(
                    service.status(),
                    Map.of("Content-Type", service.contentType(), CallerHeaders.KEY, id),
                    service.body());
        } else if (end instanceof AnswerOutcome.Refused refused) {
            ProblemDetails.reply(exchange, refused.refusal());
        }
    }
}
