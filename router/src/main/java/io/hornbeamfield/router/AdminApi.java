package io.hornbeamfield.router;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpHandler;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.router.control.RouterControl;
import io.hornbeamfield.router.traffic.Traffic;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/** Read-only HTTP API for operators: state dump, metrics and health. Every call needs the operator token. */
final class AdminApi {
    private static final int WORKER_THREADS = 2;

    private final RouterControl control;
    private final Traffic traffic;
    private final Metrics metrics;
    private final byte[] authorization;

    AdminApi(RouterControl control, Traffic traffic, Metrics metrics, String operatorToken) {
        this.control = control;
        this.traffic = traffic;
        this.metrics = metrics;
        this.authorization = ("Bearer " + operatorToken).getBytes(StandardCharsets.UTF_8);
    }

    HttpServer start(String address) {
        return HttpServer.builder()
                .address(address)
                .name("admin")
                .workerThreads(WORKER_THREADS)
                .route("GET", "/state", authorized(x -> x.replyJson(200, Json.bytes(state()))))
                .route("GET", "/metrics", authorized(x -> x.replyJson(200, metrics.json())))
                .route("GET", "/health", authorized(x -> x.replyJson(200, Json.bytes(health()))))
                .start();
    }

    private HttpHandler authorized(HttpHandler handler) {
        return exchange -> {
            if (isAuthorized(exchange)) {
                handler.handle(exchange);
            } else {
                exchange.replyJson(401, Json.bytes(Map.of("detail", "Send the operator token as a bearer token.")));
            }
        };
    }

    private boolean isAuthorized(HttpExchange exchange) {
        byte[] given = exchange.header("Authorization").orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(given, authorization);
    }

    private ObjectNode state() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("incarnation", control.incarnation());
        node.set("control", control.state());
        node.set("traffic", Json.tree(traffic.state()));
        return node;
    }

    private Map<String, Object> health() {
        Blackboard board = control.blackboard();
        String state = board.ownState() == ServerState.LEAVING
                ? "leaving"
                : board.config().isPresent() ? "live" : "starting";
        return Map.of("state", state, "incarnation", control.incarnation(), "open", traffic.inFlight());
    }
}
