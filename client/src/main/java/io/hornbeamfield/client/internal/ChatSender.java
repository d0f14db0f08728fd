package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.AnswerListener;
import io.hornbeamfield.client.ChatRequest;
import io.hornbeamfield.client.HornbeamfieldClient.Settings;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/** Sends a model request, always as a stream, and resumes its answer in later attempts. */
final class ChatSender implements Sender {
    private final HttpClient client;
    private final Settings settings;
    private final ChatRequest request;
    private final byte[] body;
    private final AnswerText text;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final RouterHealth health;

    ChatSender(
            HttpClient client,
            Settings settings,
            ChatRequest request,
            AnswerListener listener,
            Executor executor,
            ScheduledExecutorService timer,
            RouterHealth health) {
        this.client = client;
        this.settings = settings;
        this.request = request;
        this.body = body(request);
        this.text = new AnswerText(listener, request.maxTokens());
        this.executor = executor;
        this.timer = timer;
        this.health = health;
    }

    /** Returns the request body, which must be identical in every attempt because the fleet compares it. */
    private static byte[] body(ChatRequest request) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("model", request.model());
        fields.put("messages", request.messages());
        fields.put("max_tokens", request.maxTokens());
        fields.put("stream", true);
        return Json.bytes(fields);
    }

    @Override
    public boolean answerBegun() {
        return text.begun();
    }

    @Override
    public void send(Router router, String key, Duration remaining, Consumer<AttemptResult> onEnd) {
        HttpCall.Builder call = HttpCall.post("http://" + router.address() + "/v1/chat/completions")
                .json(body);
        RequestHeaders.set(call, settings.workspaceKey(), key, request.options(), remaining);
        if (text.nextOffset() > 0) {
            call.header("Hornbeamfield-From", Long.toString(text.nextOffset()));
            text.runId().ifPresent(id -> call.header("Hornbeamfield-Run", id));
        }
        ChatStream stream = new ChatStream(key, text, executor, onEnd);
        stream.setConnection(client.open(call.build(), executor, stream));
        stream.failOnStall(timer, settings.silence(), remaining);
        stream.failIfUnresponsive(new LivenessMonitor(health, router, executor, timer));
    }
}
