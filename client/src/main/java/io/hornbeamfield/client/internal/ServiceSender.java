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
    public void send(Router router, String key, Duration remaining, Consumer<AttemptResult> onResult) {
        HttpCall.Builder http = HttpCall.of(
                        call.method(), "http://" + router.address() + "/v1/services/" + call.pool() + call.path())
                .header("Content-Type", call.contentType())
                .body(call.body());
        FirstResult firstResult = new FirstResult(onResult);
        HttpCall request = RequestHeaders.set(http, workspaceKey, key, call.options(), remaining)
                .build();
        client.send(request)
                .whenCompleteAsync((reply, failure) -> firstResult.accept(toResult(reply, failure)), executor);
        new LivenessMonitor(health, router, executor, timer)
                .start(
                        () -> firstResult.reported,
                        () -> false,
                        () -> firstResult.accept(
                                new AttemptResult.RouterUnresponsive("The router stopped answering liveness probes.")));
    }

    /** Reports only the first result: that of the call or that of the liveness monitor. */
    private static final class FirstResult {
        private final Consumer<AttemptResult> onResult;
        private boolean reported;

        FirstResult(Consumer<AttemptResult> onResult) {
            this.onResult = onResult;
        }

        void accept(AttemptResult result) {
            if (!reported) {
                reported = true;
                onResult.accept(result);
            }
        }
    }

    private static AttemptResult toResult(@Nullable HttpReply reply, @Nullable Throwable failure) {
        if (reply == null) {
            boolean notSent = failure instanceof CallFailure f && f.nothingSent();
            return notSent
                    ? new AttemptResult.NotSent(String.valueOf(failure))
                    : new AttemptResult.Incomplete(String.valueOf(failure));
        }
        if (ProblemReader.isRefusal(reply.headers())) {
            return ProblemReader.read(reply.body(), reply.headers())
                    .<AttemptResult>map(AttemptResult.Refused::new)
                    .orElseGet(() -> new AttemptResult.Incomplete(
                            "The router answered with status " + reply.status() + " and no readable problem details."));
        }
        String type = reply.headers().getOrDefault("content-type", "application/octet-stream");
        return new AttemptResult.Completed(new Outcome.Answered(reply.status(), type, reply.body(), 0, 0));
    }
}
