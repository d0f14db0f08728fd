package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Sends a call to a plain service. */
final class ServiceSender implements Sender {
    private final HttpClient client;
    private final String workspaceKey;
    private final ServiceCall call;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final RouterHealth health;

    ServiceSender(
            HttpClient client,
            String workspaceKey,
            ServiceCall call,
            Executor executor,
            ScheduledExecutorService timer,
            RouterHealth health) {
        this.client = client;
        this.workspaceKey = workspaceKey;
        this.call = call;
        this.executor = executor;
        this.timer = timer;
        this.health = health;
    }

    @Override
    public void send(Router router, String key, Duration left, Consumer<TryEnd> onEnd) {
        HttpCall.Builder http = HttpCall.of(
                        call.method(), "http://" + router.address() + "/v1/services/" + call.pool() + call.path())
                .header("Content-Type", call.contentType())
                .body(call.body());
        OneEnd oneEnd = new OneEnd(onEnd);
        HttpCall whole = RequestHeaders.set(http, workspaceKey, key, call.options(), left)
                .build();
        client.send(whole).whenCompleteAsync((reply, failure) -> oneEnd.accept(end(reply, failure)), executor);
        new SilenceWatch(health, router, executor, timer)
                .start(
                        () -> oneEnd.over,
                        () -> false,
                        () -> oneEnd.accept(new TryEnd.RouterDead("The router does not answer any more.")));
    }

    /** Passes only the first end on. */
    private static final class OneEnd {
        private final Consumer<TryEnd> onEnd;
        private boolean over;

        OneEnd(Consumer<TryEnd> onEnd) {
            this.onEnd = onEnd;
        }

        void accept(TryEnd end) {
            if (!over) {
                over = true;
                onEnd.accept(end);
            }
        }
    }

    private static TryEnd end(@Nullable HttpReply reply, @Nullable Throwable failure) {
        if (reply == null) {
            boolean notSent = failure instanceof CallFailure f && f.nothingSent();
            return notSent ? new TryEnd.NotSent(String.valueOf(failure)) : new TryEnd.Broken(String.valueOf(failure));
        }
        if (ProblemReader.isProblem(reply.headers())) {
            return ProblemReader.read(reply.body(), reply.headers())
                    .<TryEnd>map(TryEnd.Refused::new)
                    .orElseGet(() -> new TryEnd.Broken("The router answered " + reply.status() + "."));
        }
        String type = reply.headers().getOrDefault("content-type", "application/octet-stream");
        return new TryEnd.Whole(new Outcome.Answered(reply.status(), type, reply.body(), 0, 0));
    }
}
