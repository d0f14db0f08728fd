package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ProblemDetails;
import io.hornbeamfield.net.json.Json;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/** Sends an answer as one response, when all of it is there. */
final class WholeSink implements AnswerSink {
    private final HttpExchange exchange;
    private final String id;
    private final Executor executor;

    WholeSink(HttpExchange exchange, String id, Executor executor) {
        this.exchange = exchange;
        this.id = id;
        this.executor = executor;
    }

    @Override
    public boolean showsParts() {
        return false;
    }

    @Override
    public void chunk(Chunk chunk) {
        // The whole answer comes with the end.
    }

    @Override
    public void end(AnswerEnd end, List<Chunk> whole) {
        executor.execute(() -> reply(end, whole));
    }

    private void reply(AnswerEnd end, List<Chunk> whole) {
        if (end instanceof AnswerEnd.Model model) {
            byte[] body = Json.bytes(ModelJson.whole(id, model, whole));
            exchange.reply(200, Map.of("Content-Type", "application/json", CallerHeaders.KEY, id), body);
        } else if (end instanceof AnswerEnd.Service service) {
            exchange.reply(
                    service.status(),
                    Map.of("Content-Type", service.contentType(), CallerHeaders.KEY, id),
                    service.body());
        } else if (end instanceof AnswerEnd.Refused refused) {
            ProblemDetails.reply(exchange, refused.refusal());
        }
    }
}
