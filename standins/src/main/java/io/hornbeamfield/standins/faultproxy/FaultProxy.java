package io.hornbeamfield.standins.faultproxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.faultproxy.internal.Link;
import io.hornbeamfield.standins.internal.Answers;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * TCP proxy with named links. {@code PUT /links/<name>} with {@code listen} and {@code target} makes a link; later
 * calls change its behaviour with the fields of {@link LinkFaults}, and {@code "reset":true} closes its connections.
 *
 * <pre>{@code
 * try (FaultProxy proxy = FaultProxy.builder().start()) {
 *     int port = proxy.link("router1-platform", "127.0.0.1:0", "127.0.0.1:7000");
 *     proxy.set("router1-platform", LinkFaults.NONE.withLatencyMs(1.5));
 * }
 * }</pre>
 */
public final class FaultProxy implements AutoCloseable {
    private static final String LINKS = "/links/";

    private final Map<String, Link> links = new TreeMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "fault-proxy");
        t.setDaemon(true);
        return t;
    });
    private final HttpServer control;

    private FaultProxy(Builder b) {
        control = HttpServer.builder()
                .address(b.address)
                .name("fault-proxy-control")
                .workerThreads(2)
                .route("PUT", LINKS + "*", this::putLink)
                .route("GET", "/links", x -> Answers.json(x, 200, describe()))
                .start();
    }

    /** Starts a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port of the control endpoint. */
    public int port() {
        return control.port();
    }

    /** Makes a link and returns its port. */
    public synchronized int link(String name, String listen, String target) {
        if (links.containsKey(name)) {
            throw new IllegalArgumentException("Link \"" + name + "\" exists already.");
        }
        Link link = new Link(listen, target, LinkFaults.NONE, threads);
        links.put(name, link);
        return link.port();
    }

    /** Replaces the behaviour of a link. */
    public void set(String name, LinkFaults faults) {
        find(name)
                .orElseThrow(() -> new IllegalArgumentException("There is no link \"" + name + "\"."))
                .set(faults);
    }

    private synchronized Optional<Link> find(String name) {
        return Optional.ofNullable(links.get(name));
    }

    private void putLink(HttpExchange x) {
        String name = x.path().substring(LINKS.length());
        JsonNode body = Json.parse(x.body());
        if (find(name).isEmpty()) {
            if (!body.hasNonNull("target")) {
                Answers.error(x, 404, "There is no link \"" + name + "\" and the call names no target.");
                return;
            }
            link(
                    name,
                    body.path("listen").asText("127.0.0.1:0"),
                    body.path("target").asText());
        }
        Link link = find(name).orElseThrow();
        link.set(link.faults().with(body));
        if (body.path("reset").asBoolean()) {
            link.reset();
        }
        Answers.json(x, 200, describe(link));
    }

    private synchronized Map<String, Object> describe() {
        Map<String, Object> all = new TreeMap<>();
        links.forEach((name, link) -> all.put(name, describe(link)));
        return all;
    }

    private static Map<String, Object> describe(Link link) {
        return Map.of(
                "listen", "127.0.0.1:" + link.port(),
                "target", link.target(),
                "connections", link.connections(),
                "faults", link.faults());
    }

    @Override
    public synchronized void close() {
        control.close();
        links.values().forEach(Link::close);
        threads.shutdownNow();
    }

    /** Builds a {@link FaultProxy}. */
    public static final class Builder {
        private String address = "127.0.0.1:0";

        private Builder() {}

        /** Sets the address of the control endpoint; port 0 picks a free one. */
        public Builder address(String ipAndPort) {
            this.address = ipAndPort;
            return this;
        }

        /** Binds the control address and starts. */
        public FaultProxy start() {
            return new FaultProxy(this);
        }
    }
}
