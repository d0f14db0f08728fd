package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ResponseStream;
import io.hornbeamfield.net.json.Json;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Engine whose streams complete, break or go silent as the test configures. Token i of a request is the word "i ". */
final class FakeEngine implements AutoCloseable {
    static final int PROMPT_TOKENS = 5;

    final List<String> started = new CopyOnWriteArrayList<>();
    final List<String> resumed = new CopyOnWriteArrayList<>();
    final List<String> cancelled = new CopyOnWriteArrayList<>();
    final Map<String, Integer> produced = new ConcurrentHashMap<>();
    volatile JsonNode lastBody = NullNode.instance;
    volatile String lastPriority = "";
    volatile String finishReason = "stop";
    volatile int tokens = 6;
    volatile int breakAt = Integer.MAX_VALUE;
    volatile int silentAt = Integer.MAX_VALUE;
    volatile int refusalStatus;
    volatile boolean losesStreams;
    /** Answers resumed streams, unless null. */
    volatile @Nullable Consumer<HttpExchange> resumeAnswer;

    /** Whether requests get no answer and leave no trace, as if they had never arrived. */
    volatile boolean losesRequests;

    volatile boolean reportsUsageOnCancel = true;
    final List<ResponseStream> silentStreams = new CopyOnWriteArrayList<>();

    private final HttpServer server = HttpServer.builder()
            .name("engine")
            .route("POST", "/v1/chat/completions", this::start)
            .route("GET", "/v1/streams/*", this::resume)
            .route("DELETE", "/v1/streams/*", this::cancel)
            .start();

    String address() {
        return "127.0.0.1:" + server.port();
    }

    private void start(HttpExchange x) {
        String id = x.header("X-Request-Id").orElseThrow();
        lastBody = Json.parse(x.body());
        lastPriority = x.header("X-Priority").orElseThrow();
        started.add(id);
        if (losesRequests) {
            x.startStream(200, Map.of()).abort();
            return;
        }
        if (refusalStatus != 0) {
            x.replyJson(refusalStatus, "{}".getBytes(UTF_8));
            return;
        }
        write(x, id, 0, Math.min(breakAt, silentAt));
    }

    private void resume(HttpExchange x) {
        String id = id(x);
        resumed.add(id + " from " + x.query("from").orElse(""));
        Consumer<HttpExchange> scripted = resumeAnswer;
        if (scripted != null) {
            scripted.accept(x);
        } else if (losesStreams) {
            x.replyJson(404, "{}".getBytes(UTF_8));
        } else {
            write(x, id, Integer.parseInt(x.query("from").orElseThrow()), Integer.MAX_VALUE);
        }
    }

    private void cancel(HttpExchange x) {
        cancelled.add(id(x));
        if (reportsUsageOnCancel) {
            x.replyJson(200, Json.bytes(Map.of("usage", usage(produced.getOrDefault(id(x), 0)))));
        } else {
            x.replyJson(500, "{}".getBytes(UTF_8));
        }
    }

    private static String id(HttpExchange x) {
        return x.path().substring("/v1/streams/".length());
    }

    private void write(HttpExchange x, String id, int from, int stopAt) {
        ResponseStream s = x.startStream(200, Map.of("Content-Type", "text/event-stream"));
        s.write(": started\n\n".getBytes(UTF_8));
        for (int i = from; i < tokens; i++) {
            if (i == stopAt) {
                stop(s);
                return;
            }
            produced.put(id, i + 1);
            s.write(event(id, i, i + " "));
        }
        String end = "data: {\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\""
                + finishReason + "\"}]," + "\"offset\":" + tokens + ",\"usage\":" + Json.tree(usage(tokens))
                + "}\n\ndata: [DONE]\n\n";
        s.write(end.getBytes(UTF_8));
        s.end();
    }

    private void stop(ResponseStream s) {
        if (silentAt < breakAt) {
            silentStreams.add(s);
        } else {
            s.abort();
        }
    }

    static byte[] event(String id, int offset, String content) {
        return ("data: {\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content
                        + "\"},\"finish_reason\":null}],\"offset\":" + offset + "}\n\n")
                .getBytes(UTF_8);
    }

    private static Map<String, Integer> usage(int completion) {
        return Map.of("prompt_tokens", PROMPT_TOKENS, "completion_tokens", completion);
    }

    @Override
    public void close() {
        server.close();
    }
}
