package io.hornbeamfield.client;

/**
 * A call to a plain service.
 *
 * <pre>{@code
 * ServiceCall.post("ledger", "/fees").json("{\"plot\":7}").build();
 * }</pre>
 */
public record ServiceCall(
        String pool, String method, String path, String contentType, byte[] body, CallOptions options) {

    /** Returns a builder for a POST call. */
    public static Builder post(String pool, String path) {
        return of(pool, "POST", path);
    }

    /** Returns a builder for a GET call. */
    public static Builder get(String pool, String path) {
        return of(pool, "GET", path);
    }

    /** Returns a builder for a call with the given HTTP method. */
    public static Builder of(String pool, String method, String path) {
        return new Builder(pool, method, path);
    }

    /** Builds a {@link ServiceCall}. */
    public static final class Builder {
        private final String pool;
        private final String method;
        private final String path;
        private String contentType = "application/octet-stream";
        private byte[] body = new byte[0];
        private CallOptions options = CallOptions.defaults();

        private Builder(String pool, String method, String path) {
            this.pool = pool;
            this.method = method;
            this.path = path;
        }

        /** Sets a JSON body and the matching content type. */
        public Builder json(String json) {
            return body("application/json", json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }

        /** Sets the body and its content type. */
        public Builder body(String type, byte[] bytes) {
            this.contentType = type;
            this.body = bytes;
            return this;
        }

        /** Sets the budget, priority and deadline. */
        public Builder options(CallOptions value) {
            this.options = value;
            return this;
        }

        /** Builds the call. */
        public ServiceCall build() {
            return new ServiceCall(pool, method, path, contentType, body, options);
        }
    }
}
