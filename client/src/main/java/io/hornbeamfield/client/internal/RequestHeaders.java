package io.hornbeamfield.client.internal;

import io.hornbeamfield.client.CallOptions;
import io.hornbeamfield.net.http.HttpCall;
import java.time.Duration;
import java.util.Locale;

/** Sets the headers and the timeout common to model requests and service calls. */
final class RequestHeaders {
    private RequestHeaders() {}

    static HttpCall.Builder set(
            HttpCall.Builder call, String workspaceKey, String key, CallOptions options, Duration remaining) {
        options.budget().ifPresent(b -> call.header("Hornbeamfield-Budget", b));
        options.priority()
                .ifPresent(p -> call.header("Hornbeamfield-Priority", p.name().toLowerCase(Locale.ROOT)));
        return call.bearer(workspaceKey)
                .header("Idempotency-Key", key)
                .header("Hornbeamfield-Deadline-Ms", Long.toString(remaining.toMillis()))
                .header("Connection", "close")
                .timeout(remaining);
    }
}
