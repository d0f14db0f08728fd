package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpExchange;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Passes a keyed request on to the incarnation that its key names. */
final class Relay {
    private static final List<String> PASSED_ON = List.of(
            "Authorization",
            "Content-Type",
            CallerHeaders.KEY,
            CallerHeaders.BUDGET,
            CallerHeaders.PRIORITY,
            CallerHeaders.FROM,
            CallerHeaders.RUN);

    /** The liveness checks of the relay bound the wait; this limit only frees what a fault left behind. */
    private static final Duration LIMIT = Duration.ofMinutes(15);

    private static final int TRIES_IF_NOT_REPEATABLE = 5;
    private static final Duration PAUSE_BETWEEN_TRIES = Duration.ofMillis(500);

    private final TrafficContext context;
    private final Hello hello;

    Relay(TrafficContext context, Hello hello) {
        this.context = context;
        this.hello = hello;
    }

    /**
     * Relays the request, or runs the action when the owner cannot be reached and nothing was answered yet. Only the
     * owner can answer a call that may not be repeated, so it is asked several times: one late answer of a busy owner
     * must not make the outcome unknown.
     */
    void send(HttpExchange exchange, CallerRequest request, Runnable ifUnreachable) {
        Executor executor = MoreExecutors.newSequentialExecutor(context.pool());
        int tries = request.work().repeatable() ? 1 : TRIES_IF_NOT_REPEATABLE;
        executor.execute(() -> reachOwner(exchange, request, executor, ifUnreachable, tries));
    }

    private void reachOwner(
            HttpExchange exchange, CallerRequest request, Executor executor, Runnable ifUnreachable, int tries) {
        Optional<String> address = addressOf(request.key().owner());
        CompletableFuture<Boolean> answers = address.map(
                        a -> hello.ask(a, request.key().owner()))
                .orElseGet(() -> CompletableFuture.completedFuture(false));
        answers.thenAcceptAsync(
                reachable -> {
                    if (reachable) {
                        open(exchange, request, address.orElseThrow(), executor, ifUnreachable);
                    } else if (tries > 1 && !request.deadline().hasPassed(context.clock())) {
                        Runnable again = () -> reachOwner(exchange, request, executor, ifUnreachable, tries - 1);
                        context.timer()
                                .schedule(
                                        () -> executor.execute(again),
                                        PAUSE_BETWEEN_TRIES.toMillis(),
                                        TimeUnit.MILLISECONDS);
                    } else {
                        ifUnreachable.run();
                    }
                },
                executor);
    }

    private Optional<String> addressOf(String incarnation) {
        return context.board().routers().stream()
                .filter(r -> r.incarnation().equals(incarnation))
                .map(RouterInfo::callerAddress)
                .findFirst();
    }

    private void open(
            HttpExchange exchange, CallerRequest request, String address, Executor executor, Runnable ifUnreachable) {
        context.counters().count("relayed");
        HttpCall.Builder call = HttpCall.of(
                        exchange.method(),
                        "http://" + address + exchange.path()
                                + exchange.rawQuery().map(q -> "?" + q).orElse(""))
                .header(CallerHeaders.RELAY, hello.relayHeader(request.key().text()))
                .header("Connection", "close")
                .body(exchange.body())
                .timeout(LIMIT);
        PASSED_ON.forEach(name -> exchange.header(name).ifPresent(value -> call.header(name, value)));
        if (request.deadline().isBounded()) {
            long left = request.deadline().remaining(context.clock()).toMillis();
            call.header(CallerHeaders.DEADLINE, Long.toString(left));
        }
        RelayedAnswer answer = new RelayedAnswer(
                exchange,
                executor,
                context.timer(),
                () -> hello.ask(address, request.key().owner()),
                ifUnreachable);
        answer.opened(context.client().open(call.build(), answer));
        exchange.onDisconnect(answer::callerLeft);
    }
}
