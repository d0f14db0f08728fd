package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.ProblemDetails;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Relays a keyed request to the incarnation that its key names. */
final class Relay {
    private static final List<String> FORWARDED_HEADERS = List.of(
            "Authorization",
            "Content-Type",
            CallerHeaders.KEY,
            CallerHeaders.BUDGET,
            CallerHeaders.PRIORITY,
            CallerHeaders.FROM,
            CallerHeaders.RUN);

    /** Closes relays that a fault left open. The liveness checks bound the wait for an owner that stops answering. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMinutes(15);

    private static final int PROBES_IF_NOT_REPEATABLE = 5;
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(Relay.class);

    private final TrafficContext context;
    private final RouterIdentity identity;

    Relay(TrafficContext context, RouterIdentity identity) {
        this.context = context;
        this.identity = identity;
    }

    /**
     * Relays the request, or runs the action when the owner cannot be reached and nothing was answered yet. Only the
     * owner can answer a non-repeatable call, so it is probed several times: one late reply of a busy owner must not
     * make the outcome unknown.
     */
    void send(HttpExchange exchange, CallerRequest request, Runnable ifUnreachable) {
        Executor steps = MoreExecutors.newSequentialExecutor(context.pool());
        Executor executor = step -> steps.execute(() -> runGuarded(step, exchange, request));
        int probesLeft = request.work().repeatable() ? 1 : PROBES_IF_NOT_REPEATABLE;
        executor.execute(() -> probeOwner(exchange, request, executor, ifUnreachable, probesLeft));
    }

    /** Runs a step. A fault of the router in it must not leave the caller waiting. */
    private void runGuarded(Runnable step, HttpExchange exchange, CallerRequest request) {
        try {
            step.run();
        } catch (RuntimeException e) {
            context.counters().count("faults");
            LOG.errorf(
                    e,
                    "The relay of request %s failed because of an internal error.",
                    request.key().text());
            ProblemDetails.reply(
                    exchange, Refusal.of(ResultCode.OUTCOME_UNKNOWN, "Internal error of the router: " + e));
        }
    }

    private void probeOwner(
            HttpExchange exchange, CallerRequest request, Executor executor, Runnable ifUnreachable, int probesLeft) {
        Optional<String> address = addressOf(request.key().owner());
        CompletableFuture<Boolean> probe = address.map(
                        a -> identity.probe(a, request.key().owner()))
                .orElseGet(() -> CompletableFuture.completedFuture(false));
        // Handed to the executor from within the action, since the future would keep a fault.
        probe.thenAccept(reachable -> executor.execute(() -> {
            if (reachable) {
                forward(exchange, request, address.orElseThrow(), executor, ifUnreachable);
            } else if (probesLeft > 1 && !request.deadline().hasPassed(context.clock())) {
                Runnable probeAgain = () -> probeOwner(exchange, request, executor, ifUnreachable, probesLeft - 1);
                context.timer()
                        .schedule(() -> executor.execute(probeAgain), PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            } else {
                ifUnreachable.run();
            }
        }));
    }

    private static boolean isValidUri(String target) {
        try {
            new URI(target);
            return true;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    private Optional<String> addressOf(String incarnation) {
        return context.board().routers().stream()
                .filter(r -> r.incarnation().equals(incarnation))
                .map(RouterInfo::callerAddress)
                .findFirst();
    }

    private void forward(
            HttpExchange exchange, CallerRequest request, String address, Executor executor, Runnable ifUnreachable) {
        String target = exchange.path() + exchange.rawQuery().map(q -> "?" + q).orElse("");
        if (!isValidUri(target)) {
            ProblemDetails.reply(
                    exchange,
                    Refusal.of(
                            ResultCode.OUTCOME_UNKNOWN,
                            "The query is not a valid URI, so that the request cannot be relayed. Send it to router "
                                    + request.key().owner() + ", which owns the key, or escape the query."));
            return;
        }
        context.counters().count("relayed");
        HttpCall.Builder call = HttpCall.of(exchange.method(), "http://" + address + target)
                .header(CallerHeaders.RELAY, identity.relayHeader(request.key().text()))
                .header("Connection", "close")
                .body(exchange.body())
                .timeout(RELAY_TIMEOUT);
        FORWARDED_HEADERS.forEach(name -> exchange.header(name).ifPresent(value -> call.header(name, value)));
        if (request.deadline().isBounded()) {
            long left = request.deadline().remaining(context.clock()).toMillis();
            call.header(CallerHeaders.DEADLINE, Long.toString(left));
        }
        RelayedAnswer answer = new RelayedAnswer(
                exchange,
                executor,
                context.timer(),
                () -> identity.probe(address, request.key().owner()),
                ifUnreachable);
        answer.opened(context.client().open(call.build(), executor, answer));
        exchange.onDisconnect(answer::callerDisconnected);
    }
}
