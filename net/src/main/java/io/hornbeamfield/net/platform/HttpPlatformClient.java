package io.hornbeamfield.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/**
 * {@link PlatformClient} over HTTP.
 *
 * <pre>{@code
 * PlatformClient platform = new HttpPlatformClient(http, "127.0.0.1:7000", token);
 * }</pre>
 */
public final class HttpPlatformClient implements PlatformClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    private final HttpClient http;
    private final String base;
    private final String token;

    public HttpPlatformClient(HttpClient http, String address, String token) {
        this.http = http;
        this.base = "http://" + address;
        this.token = token;
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> read(String key) {
        return get("/objects/" + key, CALL_TIMEOUT).thenApply(reply -> optionalObject(reply, 404));
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long afterVersion, Duration wait) {
        String path = "/watch/" + key + "?after=" + afterVersion + "&waitMs=" + wait.toMillis();
        return get(path, wait.plus(CALL_TIMEOUT)).thenApply(reply -> optionalObject(reply, 204));
    }

    @Override
    public CompletableFuture<ObjectPage> list(String prefix, String afterKey, int limit) {
        String path = "/objects?prefix=" + encode(prefix) + "&after=" + encode(afterKey) + "&limit=" + limit;
        return get(path, CALL_TIMEOUT).thenApply(reply -> {
            JsonNode page = Json.parse(requireSuccess(reply).body());
            List<VersionedValue> objects = new ArrayList<>();
            page.path("objects").forEach(o -> objects.add(object(o)));
            return new ObjectPage(objects, page.path("more").asBoolean());
        });
    }

    @Override
    public CompletableFuture<List<InstanceInfo>> instances() {
        return get("/instances", CALL_TIMEOUT).thenApply(reply -> {
            List<InstanceInfo> list = new ArrayList<>();
            Json.parseTolerantly(requireSuccess(reply).body()).path("instances").forEach(i -> list.add(instance(i)));
            return list;
        });
    }

    @Override
    public CompletableFuture<WriteResult> write(String key, long expectedVersion, JsonNode value) {
        return update(HttpCall.put(base + "/objects/" + key).json(Json.bytes(value)), key, expectedVersion);
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return update(HttpCall.delete(base + "/objects/" + key), key, expectedVersion);
    }

    private CompletableFuture<WriteResult> update(HttpCall.Builder call, String key, long expectedVersion) {
        HttpCall request = call.header("If-Match", Long.toString(expectedVersion))
                .bearer(token)
                .timeout(CALL_TIMEOUT)
                .build();
        return http.send(request).handle((reply, failure) -> writeResult(key, reply, failure));
    }

    private static WriteResult writeResult(String key, @Nullable HttpReply reply, @Nullable Throwable failure) {
        if (reply == null) {
            return failedWrite(failure);
        }
        JsonNode body = reply.body().length == 0 ? MissingNode.getInstance() : Json.parse(reply.body());
        long version = body.path("version").asLong();
        return switch (reply.status()) {
            case 200 -> new WriteResult.Applied(version);
            case 412 ->
                new WriteResult.Conflict(
                        version == 0
                                ? Optional.empty()
                                : Optional.of(new VersionedValue(key, version, body.path("value"))));
            case 400, 401, 413, 429, 503 ->
                new WriteResult.NotApplied("The platform answered with HTTP status " + reply.status() + ".");
            default -> new WriteResult.Unknown("The platform answered with HTTP status " + reply.status() + ".");
        };
    }

    private static WriteResult failedWrite(@Nullable Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof CallFailure f && f.nothingSent()) {
            return new WriteResult.NotApplied(String.valueOf(f.getMessage()));
        }
        return new WriteResult.Unknown(String.valueOf(cause));
    }

    private CompletableFuture<HttpReply> get(String path, Duration timeout) {
        return http.send(
                HttpCall.get(base + path).bearer(token).timeout(timeout).build());
    }

    private static Optional<VersionedValue> optionalObject(HttpReply reply, int absentStatus) {
        if (reply.status() == absentStatus) {
            return Optional.empty();
        }
        return Optional.of(object(Json.parse(requireSuccess(reply).body())));
    }

    private static HttpReply requireSuccess(HttpReply reply) {
        if (!reply.isSuccess()) {
            throw new PlatformFailure(
                    reply.status(), "The platform answered with HTTP status " + reply.status() + ": " + reply.text());
        }
        return reply;
    }

    private static VersionedValue object(JsonNode node) {
        return new VersionedValue(
                node.path("key").asText(), node.path("version").asLong(), node.path("value"));
    }

    private static InstanceInfo instance(JsonNode node) {
        return new InstanceInfo(
                node.path("id").asText(),
                node.path("kind").asText(),
                node.path("address").asText(),
                node.path("zone").asText(),
                node.path("state").asText().equals("leaving") ? ServerState.LEAVING : ServerState.LIVE);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
