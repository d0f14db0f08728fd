package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.RouterDirectory;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpHandler;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ProblemDetails;
import io.hornbeamfield.net.json.Json;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;

/** HTTP API for callers. */
final class CallerApi {
    private final TrafficContext context;
    private final RequestReader reader;
    private final RequestCoordinator coordinator;
    private final RouterIdentity identity;
    private final Executor delivery;
    private final OpenExchanges openExchanges;

    CallerApi(
            TrafficContext context,
            RequestCoordinator coordinator,
            RouterIdentity identity,
            Executor delivery,
            OpenExchanges openExchanges) {
        this.context = context;
        this.reader = new RequestReader(context);
        this.coordinator = coordinator;
        this.identity = identity;
        this.delivery = delivery;
        this.openExchanges = openExchanges;
    }

    HttpServer.Builder routes(HttpServer.Builder server) {
        return server.route("GET", "/v1/addresses", replyingRefusals(this::addresses))
                .route("GET", RouterIdentity.PATH, identity::handleChallenge)
                .route("POST", "/v1/chat/completions", replyingRefusals(this::chat))
                .route("*", "/v1/services/*", replyingRefusals(this::service));
    }

    private HttpHandler replyingRefusals(HttpHandler handler) {
        return received -> {
            HttpExchange exchange = openExchanges.track(received);
            try {
                handler.handle(exchange);
            } catch (RefusalException e) {
                context.counters().refused(e.refusal().code());
                ProblemDetails.reply(exchange, e.refusal());
            }
        };
    }

    private void addresses(HttpExchange exchange) {
        Workspace workspace = reader.authenticate(exchange, reader.config());
        String zone = exchange.query("zone").orElse("");
        var routers = RouterDirectory.addressesFor(
                        workspace.name(), zone, context.board().routers())
                .stream()
                .map(r -> Map.of("incarnation", r.incarnation(), "address", r.callerAddress(), "zone", r.zone()))
                .toList();
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("validForSeconds", RouterDirectory.VALID_FOR_SECONDS);
        answer.put("now", context.clock().instant().getEpochSecond());
        answer.put("routers", routers);
        exchange.replyJson(200, Json.bytes(answer));
    }

    private void chat(HttpExchange exchange) {
        Workspace workspace = reader.authenticate(exchange, reader.config());
        Work.Model work = ModelRequestParser.parse(exchange.body());
        if (!context.servers().knowsModel(work.model())) {
            throw RefusalException.refused(
                    ResultCode.UNKNOWN_MODEL, "No pool serves the model \"" + work.model() + "\".");
        }
        CallerRequest request = reader.read(exchange, workspace, work);
        String id = request.key().text();
        Executor writes = MoreExecutors.newSequentialExecutor(delivery);
        AnswerSink sink = work.stream()
                ? new EventStreamSink(exchange, id, context.incarnation(), writes)
                : new SingleResponseSink(exchange, id, writes);
        submit(exchange, request, sink);
    }

    private void service(HttpExchange exchange) {
        ConfigSnapshot config = reader.config();
        Workspace workspace = reader.authenticate(exchange, config);
        Work.Service work = ServiceRequestParser.parse(exchange, config.head());
        CallerRequest request = reader.read(exchange, workspace, work);
        submit(exchange, request, new SingleResponseSink(exchange, request.key().text(), delivery));
    }

    private void submit(HttpExchange exchange, CallerRequest request, AnswerSink sink) {
        boolean relayed = exchange.header(CallerHeaders.RELAY)
                .map(header -> identity.isAuthenticRelay(header, request.key().text()))
                .orElse(false);
        coordinator.submit(exchange, request, sink, relayed);
    }
}
