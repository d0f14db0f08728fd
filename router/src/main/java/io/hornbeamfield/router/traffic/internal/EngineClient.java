package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.StreamListener;
import io.hornbeamfield.net.json.Json;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Makes the HTTP calls to an engine for one engine request. */
final class EngineClient {
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client;
    private final String address;
    private final String engineRequestId;

    EngineClient(HttpClient client, String address, String engineRequestId) {
        this.client = client;
        this.address = address;
        this.engineRequestId = engineRequestId;
    }

    OpenStream start(
            String workspace,
            Priority priority,
            byte[] body,
            Duration headTimeout,
            Executor executor,
            StreamListener listener) {
        HttpCall call = HttpCall.post("http://" + address + "/v1/chat/completions")
                .header("X-Request-Id", engineRequestId)
                .header("X-Workspace", workspace)
                .header("X-Priority", priority.name().toLowerCase(Locale.ROOT))
                .json(body)
                .timeout(headTimeout)
                .build();
        return client.open(call, executor, listener);
    }

    /** Resumes the stream at an offset, on a fresh connection, because an idle pooled connection may be silent too. */
    OpenStream resume(long offset, Duration headTimeout, Executor executor, StreamListener listener) {
        HttpCall call = HttpCall.get(streamUri() + "?from=" + offset)
                .header("Connection", "close")
                .timeout(headTimeout)
                .build();
        return client.open(call, executor, listener);
    }

    /** Cancels the request and returns its usage, if the engine reports it. */
    CompletableFuture<Optional<Usage>> cancel() {
        HttpCall call = HttpCall.delete(streamUri())
                .header("Connection", "close")
                .timeout(CANCEL_TIMEOUT)
                .build();
        return client.send(call)
                .thenApply(reply -> reply.isSuccess() ? usage(reply.body()) : Optional.<Usage>empty())
                .exceptionally(failure -> Optional.empty());
    }

    private static Optional<Usage> usage(byte[] body) {
        try {
            return EngineEvent.usage(Json.parse(body).path("usage"));
        } catch (UncheckedIOException e) {
            return Optional.empty();
        }
    }

    private String streamUri() {
        return "http://" + address + "/v1/streams/" + engineRequestId;
    }
}
