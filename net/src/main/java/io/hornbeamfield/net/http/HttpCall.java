package io.hornbeamfield.net.http;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An outgoing HTTP request.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.post("http://127.0.0.1:8080/v1/chat/completions")
 *         .header("X-Request-Id", id)
 *         .json(body)
 *         .timeout(Duration.ofSeconds(5))
 *         .build();
 * }</pre>
 *
 * <p>The timeout (10 s by default) covers the time until the response head arrives or, for {@link HttpClient#send},
 * until the whole body has arrived. A call may allow a longer time for a body that keeps arriving.
 *
 * <p>A response body with neither a length nor chunks counts as broken, unless the call allows that its body ends with
 * the connection.
 */
public record HttpCall(
        String method,
        URI uri,
        Map<String, String> headers,
        byte[] body,
        Duration timeout,
        Duration receivingTimeout,
        boolean bodyMayEndWithConnection) {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    /** Starts a GET request. */
    public static Builder get(String uri) {
        return new Builder("GET", uri);
    }

    /** Starts a POST request. */
    public static Builder post(String uri) {
        return new Builder("POST", uri);
    }

    /** Starts a PUT request. */
    public static Builder put(String uri) {
        return new Builder("PUT", uri);
    }

    /** Starts a DELETE request. */
    public static Builder delete(String uri) {
        return new Builder("DELETE", uri);
    }

    /** Starts a request with any method. */
    public static Builder of(String method, String uri) {
        return new Builder(method, uri);
    }

    /** Builds an {@link HttpCall}. */
    public static final class Builder {
        private final String method;
        private final URI uri;
        private final Map<String, String> headers = new LinkedHashMap<>();
        private byte[] body = new byte[0];
        private Duration timeout = DEFAULT_TIMEOUT;
        private Duration receivingTimeout = Duration.ZERO;
        private boolean bodyMayEndWithConnection;

        private Builder(String method, String uri) {
            this.method = method;
            this.uri = URI.create(uri);
        }

        /** Sets a header. */
        public Builder header(String name, String value) {
            headers.put(name, value);
            return this;
        }

        /** Sets the Authorization header to a bearer token. */
        public Builder bearer(String token) {
            return header("Authorization", "Bearer " + token);
        }

        /** Sets a JSON body. */
        public Builder json(String json) {
            return json(json.getBytes(StandardCharsets.UTF_8));
        }

        /** Sets a JSON body. */
        public Builder json(byte[] json) {
            return header("Content-Type", "application/json").body(json);
        }

        /** Sets the body. */
        public Builder body(byte[] bytes) {
            this.body = bytes;
            return this;
        }

        /** Sets the timeout. */
        public Builder timeout(Duration limit) {
            this.timeout = limit;
            return this;
        }

        /**
         * Extends the timeout of {@link HttpClient#send} to the given time in all, as long as some of the response
         * arrives within each further timeout.
         */
        public Builder receivingTimeout(Duration limit) {
            this.receivingTimeout = limit;
            return this;
        }

        /**
         * Accepts a body with neither a length nor chunks as complete if the server closes the connection in order. It
         * is broken after a reset, or if it is empty, since a server that stopped after the head leaves the same bytes.
         */
        public Builder bodyMayEndWithConnection() {
            this.bodyMayEndWithConnection = true;
            return this;
        }

        /** Returns the finished request. */
        public HttpCall build() {
            Duration longest = receivingTimeout.compareTo(timeout) > 0 ? receivingTimeout : timeout;
            return new HttpCall(method, uri, Map.copyOf(headers), body, timeout, longest, bodyMayEndWithConnection);
        }
    }
}
