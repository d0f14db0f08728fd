package io.hornbeamfield.net.http;

import io.hornbeamfield.net.http.internal.GrizzlyHttpServer;
import java.util.ArrayList;
import java.util.List;

/**
 * HTTP/1.1 server. A route matches a method (or {@code *}) and a path; a path that ends with {@code /*} matches every
 * path below it. The first matching route wins.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.builder()
 *         .address("127.0.0.1:8080")
 *         .route("GET", "/health", x -> x.replyJson(200, "{}".getBytes(UTF_8)))
 *         .start();
 * }</pre>
 */
public interface HttpServer extends AutoCloseable {
    /** Maximum size of a request body: 4 MiB. Larger bodies are answered with status 413. */
    int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Leaves room for the copies that are made while bodies grow. */
    long BODIES_PER_HEAP = 8;

    /** Returns a builder for a server. */
    static Builder builder() {
        return new Builder();
    }

    /** Returns the port that the server listens on. */
    int port();

    @Override
    void close();

    /** Maps a method and a path pattern to a handler. */
    record Route(String method, String path, HttpHandler handler) {
        /** Returns whether this route handles the given method and path. */
        public boolean matches(String requestMethod, String requestPath) {
            boolean methodMatches = method.equals("*") || method.equals(requestMethod);
            return methodMatches && matchesPath(requestPath);
        }

        private boolean matchesPath(String requestPath) {
            return path.endsWith("/*")
                    ? requestPath.startsWith(path.substring(0, path.length() - 1))
                    : path.equals(requestPath);
        }
    }

    /** Builds an {@link HttpServer}. */
    final class Builder {
        private String address = "127.0.0.1:0";
        private String name = "http";
        private int workerThreads = 8;
        private long maxBodyBytesTogether = Runtime.getRuntime().maxMemory() / BODIES_PER_HEAP;
        private final List<Route> routes = new ArrayList<>();

        private Builder() {}

        /** Sets the address to listen on, {@code ip:port}; port 0 selects a free port. */
        public Builder address(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Sets the prefix of the names of the server's threads. */
        public Builder name(String threadName) {
            this.name = threadName;
            return this;
        }

        /** Sets the number of threads that run handlers. */
        public Builder workerThreads(int count) {
            this.workerThreads = count;
            return this;
        }

        /**
         * Sets the bytes of all bodies that are received at the same time, beyond which the connections of the largest
         * are closed; default: an eighth of the heap.
         */
        public Builder maxBodyBytesTogether(long bytes) {
            this.maxBodyBytesTogether = bytes;
            return this;
        }

        /** Adds a route. */
        public Builder route(String method, String path, HttpHandler handler) {
            routes.add(new Route(method, path, handler));
            return this;
        }

        /** Binds the address and starts serving. */
        public HttpServer start() {
            return GrizzlyHttpServer.start(address, name, workerThreads, maxBodyBytesTogether, List.copyOf(routes));
        }
    }
}
