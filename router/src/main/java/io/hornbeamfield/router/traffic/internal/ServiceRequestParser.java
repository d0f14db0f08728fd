package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.http.HttpExchange;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates a call to a plain service. */
final class ServiceRequestParser {
    private static final String PREFIX = "/v1/services/";
    private static final Pattern PATH = Pattern.compile(PREFIX + "([A-Za-z0-9][A-Za-z0-9._-]{0,63})(/.*)");

    private ServiceRequestParser() {}

    /** Returns the validated call or throws {@link RefusalException}. */
    static Work.Service parse(HttpExchange exchange, ConfigHead head) {
        Matcher matcher = PATH.matcher(exchange.path());
        if (!matcher.matches()) {
            throw RefusalException.malformed("The path must be " + PREFIX + "<pool>/<path>.");
        }
        String name = matcher.group(1);
        Pool pool = head.pools().get(name);
        if (pool == null || pool.kind() != PoolKind.SERVICE) {
            throw RefusalException.refused(ResultCode.UNKNOWN_POOL, "There is no service pool \"" + name + "\".");
        }
        String path = normalized(matcher.group(2));
        return new Work.Service(
                name,
                exchange.method(),
                target(exchange, path),
                exchange.header("Content-Type").orElse("application/octet-stream"),
                exchange.body(),
                pool.tokensPerCall(),
                pool.isRepeatable(exchange.method(), path));
    }

    /**
     * Rejects a path that a service may interpret differently. Non-repeatable calls are matched by path prefix, and
     * another spelling of a path must not bypass that rule.
     */
    private static String normalized(String path) {
        if (path.contains("//")
                || path.contains("/./")
                || path.contains("/../")
                || path.endsWith("/..")
                || path.endsWith("/.")
                || path.contains("\\")
                || path.contains(";")
                || path.contains("%")) {
            throw RefusalException.malformed(
                    "The path must be plain: no empty or dot segments, no escapes, no \";\" or \"\\\".");
        }
        return path;
    }

    private static String target(HttpExchange exchange, String path) {
        String target = exchange.rawQuery().map(q -> path + "?" + q).orElse(path);
        try {
            return new URI(target).toASCIIString();
        } catch (URISyntaxException e) {
            throw RefusalException.malformed("The path or the query is not a valid URI: " + e.getMessage());
        }
    }
}
