package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.Outcome;
import io.hornbeamfield.client.ServiceCall;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Sends a call to a plain service. */
final class ServiceSender implements Sender {
    private final HttpClient client;
    private final String workspaceKey;
    private final ServiceCall call;
    private final Executor executor;

    ServiceSender(HttpClient client, String workspaceKey, ServiceCall call, Executor executor) {
        this.client = client;
        this.workspaceKey = workspaceKey;
        this.call = call;
        this.executor = executor;
    }

    @Override
    public void send(Router router, String key, Duration left, Consumer<TryEnd> onEnd) {
        HttpCall.Builder http = HttpCall.of(
                        call.method(), "http://" + router.address() + "/v1/services/" + call.pool() + call.path())
                .header("Content-Type", call.contentType())
                .body(call.body());
        client.send(RequestHeaders.set(http, workspaceKey, key, call.options(), left)
                        .build())
                .whenCompleteAsync((reply, failure) -> onEnd.accept(end(reply, failure)), executor);
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
