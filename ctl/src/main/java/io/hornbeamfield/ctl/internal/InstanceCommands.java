package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** The commands {@code dump} and {@code status}, which read the state of routers and change nothing. */
public final class InstanceCommands {
    static final String PREFIX = "routers/";
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(3);

    private final BlockingPlatformClient platform;
    private final ConfigStore store;
    private final HttpClient http;
    private final Optional<String> operatorToken;

    public InstanceCommands(
            BlockingPlatformClient platform, ConfigStore store, HttpClient http, Optional<String> operatorToken) {
        this.platform = platform;
        this.store = store;
        this.http = http;
        this.operatorToken = operatorToken;
    }

    private record Router(String id, JsonNode status) {
        String text(String field) {
            return status.path(field).asText("-");
        }
    }

    /** Shows the state dump of one router. */
    public Output dump(String instance) {
        VersionedValue status = platform.read(PREFIX + instance)
                .orElseThrow(() -> new CommandException(
                        ResultCode.MALFORMED_REQUEST,
                        "There is no router \"" + instance + "\". See status for the instance ids."));
        try {
            return Output.ofJson(
                    fetchState(new Router(instance, status.value())).join());
        } catch (CompletionException e) {
            throw new CommandException(
                    ResultCode.INSTANCE_UNREACHABLE,
                    "Router " + instance + " does not answer at its admin address: " + reason(e)
                            + ". Check the operator token and the network to this router.");
        }
    }

    /** Returns whether the process of an incarnation responds at its admin address; false without an operator token. */
    public boolean isIncarnationResponding(String instance, String incarnation) {
        if (operatorToken.isEmpty()) {
            return false;
        }
        return platform.read(PREFIX + instance)
                .map(status -> controlState(fetchState(new Router(instance, status.value()))))
                .flatMap(control -> control)
                .filter(control -> control.path("incarnation").asText().equals(incarnation))
                .isPresent();
    }

    /** Shows every router with the revision that it has adopted. */
    public Output status() {
        StoredConfig stored = store.load();
        List<Router> routers = platform.list(PREFIX).stream()
                .map(v -> new Router(v.key().substring(PREFIX.length()), v.value()))
                .toList();
        Map<Router, CompletableFuture<JsonNode>> states = new LinkedHashMap<>();
        routers.forEach(r -> states.put(r, fetchState(r)));
        List<List<String>> rows = new ArrayList<>();
        String preset = stored.head().map(ConfigHead::activePreset).orElse("-");
        rows.add(List.of("REVISION " + stored.revision(), "PRESET " + preset, "", "", ""));
        rows.add(List.of("ROUTER", "ZONE", "STATE", "REVISION", "NOTE"));
        List<Map<String, Object>> json = new ArrayList<>();
        states.forEach((router, state) -> {
            Optional<JsonNode> control = controlState(state);
            long adopted = control.map(c -> c.path("configRevision").asLong(-1)).orElse(-1L);
            String note = note(control, adopted, stored.revision());
            String shown = adopted < 0 ? "-" : Long.toString(adopted);
            rows.add(List.of(router.id(), router.text("zone"), router.text("state"), shown, note));
            json.add(Map.of(
                    "router", router.id(),
                    "incarnation", router.text("incarnation"),
                    "zone", router.text("zone"),
                    "state", router.text("state"),
                    "revision", adopted,
                    "note", note));
        });
        return Output.of(Map.of("revision", stored.revision(), "activePreset", preset, "routers", json), rows);
    }

    private static String note(Optional<JsonNode> control, long adopted, long current) {
        if (control.isEmpty()) {
            return "no answer";
        }
        if (adopted <= 0) {
            return "no configuration";
        }
        String lag = adopted < current ? "lags by " + (current - adopted) : "";
        String stale = control.get().path("configStale").asBoolean() ? "stale" : "";
        return lag.isEmpty() || stale.isEmpty() ? lag + stale : lag + ", " + stale;
    }

    /** Returns the {@code control} section of a state dump; empty if the router did not respond. */
    private static Optional<JsonNode> controlState(CompletableFuture<JsonNode> state) {
        try {
            return Optional.of(state.join().path("control"));
        } catch (CompletionException e) {
            return Optional.empty();
        }
    }

    private CompletableFuture<JsonNode> fetchState(Router router) {
        String address = router.status().path("adminAddress").asText();
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(new IllegalStateException("its status names no admin address"));
        }
        String token = operatorToken.orElseThrow(
                () -> new CommandException(
                        ResultCode.INVALID_SETTINGS,
                        "dump and status need the operator token. Pass --operator-token or set operatorToken in the settings."));
        HttpCall call = HttpCall.get("http://" + address + "/state")
                .bearer(token)
                .timeout(STATE_TIMEOUT)
                .build();
        return http.send(call).thenApply(InstanceCommands::parseState);
    }

    private static JsonNode parseState(HttpReply reply) {
        if (!reply.isSuccess()) {
            throw new IllegalStateException("it answered HTTP status " + reply.status());
        }
        try {
            return Json.parse(reply.body());
        } catch (UncheckedIOException e) {
            throw new IllegalStateException("its answer is not JSON", e);
        }
    }

    private static String reason(CompletionException e) {
        return e.getCause() == null
                ? String.valueOf(e.getMessage())
                : String.valueOf(e.getCause().getMessage());
    }
}
