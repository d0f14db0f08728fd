package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** Sends one call to a plain service. The call is never cancelled, because the service may already be acting on it. */
final class ServiceAttempt implements Attempt {
    private final HttpClient client;
    private final String address;
    private final CallerRequest request;
    private final Work.Service work;
    private final Duration timeout;
    private final Executor executor;
    private final Listener listener;

    ServiceAttempt(
            HttpClient client,
            String address,
            CallerRequest request,
            Work.Service work,
            Duration timeout,
            Executor executor,
            Listener listener) {
        this.client = client;
        this.address = address;
        this.request = request;
        this.work = work;
        this.timeout = timeout;
        this.executor = executor;
        this.listener = listener;
    }

    @Override
    public void start() {
        HttpCall.Builder call = HttpCall.of(work.method(), "http://" + address + work.target())
                .header(CallerHeaders.KEY, request.key().text())
                .header("X-Workspace", request.workspace())
                .header("Content-Type", work.contentType())
                // On a pooled connection a late copy of an earlier answer cannot be told from that of this call, nor
                // "not sent" from "outcome unknown".
                .header("Connection", "close")
                .body(work.body())
                .bodyMayEndWithConnection()
                .timeout(timeout);
        client.send(call.build()).whenComplete((reply, failure) -> executor.execute(() -> callEnded(reply, failure)));
    }

    private void callEnded(@Nullable HttpReply reply, @Nullable Throwable failure) {
        if (reply != null) {
            String type = reply.headers().getOrDefault("content-type", "application/octet-stream");
            AnswerOutcome end = new AnswerOutcome.Service(reply.status(), type, reply.body());
            listener.ended(new AttemptOutcome.Done(end, work.worstCaseTokens()));
        } else if (failure instanceof CallFailure f && f.nothingSent()) {
            listener.ended(
                    new AttemptOutcome.NotSent(Refusal.of(ResultCode.NO_BACKEND, f.getMessage() + " Retry later.")
                            .retryAfter(1)));
        } else {
            ResultCode code = work.repeatable() ? ResultCode.BACKEND_FAILED : ResultCode.OUTCOME_UNKNOWN;
            listener.ended(new AttemptOutcome.Failed(
                    Refusal.of(code, failure + " Check with the service whether the call took effect."),
                    work.worstCaseTokens(),
                    work.worstCaseTokens(),
                    false));
        }
    }

    @Override
    public void cancel() {
        // The call runs to its end, which is reported as usual.
    }
}
