package io.hornbeamfield.router.traffic.internal;

import com.google.common.util.concurrent.MoreExecutors;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpExchange;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

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

    private final TrafficContext context;
    private final Hello hello;

    Relay(TrafficContext context, Hello hello) {
        this.context = context;
        this.hello = hello;
    }

    /** Relays the request, or runs the action when the owner cannot be reached and nothing was answered yet. */
    void send(HttpExchange exchange, CallerRequest request, Runnable ifUnreachable) {
        Executor executor = MoreExecutors.newSequentialExecutor(context.pool());
        Optional<String> address = addressOf(request.key().owner());
        if (address.isEmpty()) {
            executor.execute(ifUnreachable);
            return;
        }
        hello.ask(address.get(), request.key().owner())
                .thenAcceptAsync(
                        reachable -> {
                            if (reachable) {
                                open(exchange, request, address.get(), executor, ifUnreachable);
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
