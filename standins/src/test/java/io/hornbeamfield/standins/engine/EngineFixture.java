package io.hornbeamfield.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.StreamListener;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** An engine stand-in with a client. */
final class EngineFixture implements AutoCloseable {
    static final String WORKSPACE = "plots";

    final EngineStandIn engine;
    final HttpClient http = HttpClient.create("test");

    EngineFixture(EngineStandIn.Builder builder) {
        engine = builder.loadLag(Duration.ZERO).start();
    }

    static List<ChatMessage> messages(String... contents) {
        List<ChatMessage> list = new ArrayList<>();
        for (String content : contents) {
            list.add(new ChatMessage("user", content));
        }
        return list;
    }

    HttpCall chat(String id, String priority, int maxTokens, boolean stream, List<ChatMessage> messages) {
        Map<String, Object> body =
                Map.of("model", "m", "messages", messages, "max_tokens", maxTokens, "stream", stream);
        return HttpCall.post(url("/v1/chat/completions"))
                .header("X-Request-Id", id)
                .header("X-Workspace", WORKSPACE)
                .header("X-Priority", priority)
                .json(Json.bytes(body))
                .build();
    }

    CompletableFuture<HttpReply> send(String id, String priority, int maxTokens, String... contents) {
        return http.send(chat(id, priority, maxTokens, false, messages(contents)));
    }

    JsonNode get(String path) {
        return Json.parse(http.send(HttpCall.get(url(path)).build()).join().body());
    }

    HttpReply post(String path, String json) {
        return http.send(HttpCall.post(url(path)).json(json).build()).join();
    }

    EngineRecord record(String id) {
        return engine.records().stream()
                .filter(r -> r.requestId().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the state of a request, empty until the engine has received it. */
    String state(String id) {
        return engine.records().stream()
                .filter(r -> r.requestId().equals(id))
                .map(EngineRecord::state)
                .findFirst()
                .orElse("");
    }

    String url(String path) {
        return "http://" + engine.address() + path;
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The condition did not become true within 5 s.");
            }
            Thread.sleep(2);
        }
    }

    /** Reads a stream of events. */
    static final class Reader implements StreamListener {
        private final StringBuilder text = new StringBuilder();
        final CompletableFuture<Void> ended = new CompletableFuture<>();

        static Reader open(HttpClient http, HttpCall call, List<OpenStream> opened) {
            Reader reader = new Reader();
            opened.add(http.open(call, reader));
            return reader;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            if (status != 200) {
                ended.completeExceptionally(new AssertionError("The engine answered " + status + "."));
            }
        }

        @Override
        public synchronized void onData(byte[] chunk) {
            text.append(new String(chunk, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            ended.complete(null);
        }

        @Override
        public void onFailure(CallFailure failure) {
            ended.completeExceptionally(failure);
        }

        synchronized List<JsonNode> chunks() {
            List<JsonNode> list = new ArrayList<>();
            for (String event : text.toString().split("\n\n")) {
                if (event.startsWith("data: {") && event.endsWith("}")) {
                    list.add(Json.parse(event.substring(6).getBytes(StandardCharsets.UTF_8)));
                }
            }
            return list;
        }

        String content() {
            StringBuilder all = new StringBuilder();
            chunks().forEach(c -> all.append(
                    c.path("choices").path(0).path("delta").path("content").asText("")));
            return all.toString();
        }

        synchronized boolean done() {
            return text.toString().endsWith("data: [DONE]\n\n");
        }
    }

    @Override
    public void close() {
        http.close();
        engine.close();
    }
}
