package io.hornbeamfield.client;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ResponseStream;
import io.hornbeamfield.net.json.Json;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Router whose responses a test scripts. Without a script, it serves the complete answer of 4 tokens. */
final class FakeRouter implements AutoCloseable {
    static final long FLEET_CLOCK_AHEAD_SECONDS = 500;

    final String incarnation;
    final List<String> keys = new CopyOnWriteArrayList<>();
    final List<String> resumePoints = new CopyOnWriteArrayList<>();
    final Queue<Consumer<HttpExchange>> script = new ConcurrentLinkedQueue<>();
    volatile List<FakeRouter> listedRouters = List.of(this);
    volatile int lookups;
    volatile boolean paused;
    private final HttpServer server = HttpServer.builder()
            .route("GET", "/v1/addresses", this::addresses)
            .route("GET", "/v1/hello", this::hello)
            .route("*", "/v1/*", this::request)
            .start();

    FakeRouter(String incarnation) {
        this.incarnation = incarnation;
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    private void addresses(HttpExchange x) {
        lookups++;
        long now = java.time.Instant.now().getEpochSecond() + FLEET_CLOCK_AHEAD_SECONDS;
        x.replyJson(
                200,
                Json.bytes(Map.of(
                        "validForSeconds",
                        15,
                        "now",
                        now,
                        "routers",
                        listedRouters.stream()
                                .map(r -> Map.of("incarnation", r.incarnation, "address", r.address(), "zone", "a"))
                                .toList())));
    }

    private void hello(HttpExchange x) {
        if (!paused) {
            x.replyJson(200, Json.bytes(Map.of("incarnation", incarnation)));
        }
    }

    private void request(HttpExchange x) {
        keys.add(x.header("Idempotency-Key").orElseThrow());
        resumePoints.add(x.header("Hornbeamfield-From").orElse("") + "/"
                + x.header("Hornbeamfield-Run").orElse(""));
        Consumer<HttpExchange> next = script.poll();
        if (next == null) {
            serve(incarnation, "w", 0, 4, true).accept(x);
        } else {
            next.accept(x);
        }
    }

    static Consumer<HttpExchange> refuse(Refusal refusal) {
        return x -> x.reply(
                refusal.code().httpStatus(),
                Map.of(
                        "Content-Type",
                        "application/problem+json",
                        "Retry-After",
                        Integer.toString(refusal.retryAfterSeconds().orElse(0))),
                Json.bytes(Map.of(
                        "code", refusal.code().number(),
                        "detail", refusal.detail(),
                        "ran", refusal.code().ran().wireName())));
    }

    static Consumer<HttpExchange> abort() {
        return x -> x.startStream(200, Map.of()).abort();
    }

    /** Streams tokens {@code from} (inclusive) to {@code to} (exclusive) of a run, then ends or aborts the stream. */
    static Consumer<HttpExchange> serve(String run, String word, int from, int to, boolean end) {
        return x -> {
            ResponseStream s =
                    x.startStream(200, Map.of("Content-Type", "text/event-stream", "Hornbeamfield-Run", run));
            String id = x.header("Idempotency-Key").orElseThrow();
            for (int i = from; i < to; i++) {
                s.write(event(id, i, "{\"content\":\"" + word + i + " \"}", ""));
            }
            if (end) {
                s.write(event(id, to, "{}", ",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}"));
                s.write("data: [DONE]\n\n".getBytes(UTF_8));
                s.end();
            } else {
                s.abort();
            }
        };
    }

    static byte[] event(String id, int offset, String delta, String more) {
        return ("data: {\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":" + delta + "}],\"offset\":" + offset
                        + more + "}\n\n")
                .getBytes(UTF_8);
    }

    @Override
    public void close() {
        server.close();
    }
}
