package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.CallOptions;
import io.hornbeamfield.net.http.HttpCall;
import java.time.Duration;
import java.util.Locale;

/** Sets the headers that all requests share. */
final class RequestHeaders {
    private RequestHeaders() {}

    static HttpCall.Builder set(
            HttpCall.Builder call, String workspaceKey, String key, CallOptions options, Duration left) {
        options.budget().ifPresent(b -> call.header("Hornbeamfield-Budget", b));
        options.priority()
                .ifPresent(p -> call.header("Hornbeamfield-Priority", p.name().toLowerCase(Locale.ROOT)));
        return call.bearer(workspaceKey)
                .header("Idempotency-Key", key)
                .header("Hornbeamfield-Deadline-Ms", Long.toString(left.toMillis()))
                .header("Connection", "close")
                .timeout(left);
    }
}
