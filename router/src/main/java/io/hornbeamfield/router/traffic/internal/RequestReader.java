package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.admission.Deadline;
import io.hornbeamfield.core.config.ConfigSnapshot;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.identity.RequestKey;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpExchange;
import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

/** Authenticates callers and reads the headers common to all requests. Failed checks throw {@link RefusalException}. */
final class RequestReader {
    private static final Pattern BUDGET_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,63}");
    private static final String BEARER = "Bearer ";

    private final TrafficContext context;

    RequestReader(TrafficContext context) {
        this.context = context;
    }

    ConfigSnapshot config() {
        return context.board()
                .config()
                .orElseThrow(() -> RefusalException.refused(
                        Refusal.of(ResultCode.STARTING, "Retry shortly.").retryAfter(1)));
    }

    Workspace authenticate(HttpExchange exchange, ConfigSnapshot config) {
        String header = exchange.header("Authorization").orElse("");
        if (!header.startsWith(BEARER)) {
            throw RefusalException.refused(
                    ResultCode.UNAUTHENTICATED, "Send the header \"Authorization: Bearer <workspace key>\".");
        }
        return config.workspaceByKeyHash(Hashes.sha256(header.substring(BEARER.length())))
                .orElseThrow(() -> RefusalException.refused(
                        ResultCode.UNAUTHENTICATED, "No workspace has this key. Check the key with the operator."));
    }

    CallerRequest read(HttpExchange exchange, Workspace workspace, Work work) {
        Optional<RequestKey> given = exchange.header(CallerHeaders.KEY).map(RequestReader::parseKey);
        if (given.isEmpty() && !work.repeatable()) {
            throw RefusalException.refused(
                    ResultCode.KEY_REQUIRED,
                    "This call must not run twice. Send the header " + CallerHeaders.KEY + ".");
        }
        String target = exchange.path() + exchange.rawQuery().map(q -> "?" + q).orElse("");
        return new CallerRequest(
                given.orElseGet(this::generatedKey),
                given.isPresent(),
                workspace.name(),
                budget(exchange, workspace),
                priority(exchange, workspace),
                deadline(exchange, context.clock()),
                from(exchange),
                Hashes.fingerprint(exchange.method(), target, exchange.body()),
                work);
    }

    /**
     * Returns the offset to answer from. A caller that resumes the answer of another run gets this one from its start,
     * because the runs may have produced different text.
     */
    private long from(HttpExchange exchange) {
        boolean otherRun = exchange.header(CallerHeaders.RUN)
                .map(run -> !run.equals(context.incarnation()))
                .orElse(false);
        long from = number(exchange, CallerHeaders.FROM).orElse(0L);
        return otherRun ? 0 : from;
    }

    private static RequestKey parseKey(String text) {
        return RequestKey.parse(text).fold(key -> key, refusal -> {
            throw RefusalException.refused(refusal);
        });
    }

    private RequestKey generatedKey() {
        String nonce = UUID.randomUUID().toString().replace("-", "");
        return new RequestKey(context.incarnation(), context.clock().instant().getEpochSecond(), nonce);
    }

    private static String budget(HttpExchange exchange, Workspace workspace) {
        Optional<String> name = exchange.header(CallerHeaders.BUDGET);
        if (name.isPresent() && !BUDGET_NAME.matcher(name.get()).matches()) {
            throw RefusalException.malformed("Header " + CallerHeaders.BUDGET
                    + " must be a budget name: 1 to 64 letters, digits,"
                    + " \"_\" or \"-\", beginning with a letter or digit.");
        }
        return name.map(n -> workspace.name() + ":" + n).orElse(workspace.name());
    }

    /** Returns the priority of a request. A caller can lower the priority of its workspace but not raise it. */
    private static Priority priority(HttpExchange exchange, Workspace workspace) {
        Optional<String> header = exchange.header(CallerHeaders.PRIORITY);
        if (header.isEmpty()) {
            return workspace.priority();
        }
        try {
            Priority wanted = Priority.valueOf(header.get().toUpperCase(Locale.ROOT));
            return wanted.atLeast(workspace.priority()) ? workspace.priority() : wanted;
        } catch (IllegalArgumentException e) {
            throw RefusalException.malformed("Header " + CallerHeaders.PRIORITY + " must be high, normal or low.");
        }
    }

    private static Deadline deadline(HttpExchange exchange, Clock clock) {
        return number(exchange, CallerHeaders.DEADLINE)
                .map(ms -> Deadline.after(Duration.ofMillis(ms).minus(exchange.age()), clock))
                .orElse(Deadline.none());
    }

    private static Optional<Long> number(HttpExchange exchange, String name) {
        return exchange.header(name).map(text -> {
            if (!text.matches("[0-9]{1,9}")) {
                throw RefusalException.malformed("Header " + name + " must be a number from 0 to 999999999.");
            }
            return Long.parseLong(text);
        });
    }
}
