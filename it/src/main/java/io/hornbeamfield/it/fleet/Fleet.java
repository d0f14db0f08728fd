package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.standins.FreePorts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A whole fleet of real processes: platform, fault proxy, engines, services and routers. Routers reach the platform and
 * the backend servers through links of the fault proxy; the harness reaches everything directly.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.start(plan)) {
 *     fleet.router(0).process().kill();
 *     fleet.link(fleet.router(1).platformLink(), "{\"cut\":true}");
 * }
 * }</pre>
 */
public final class Fleet implements AutoCloseable {
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);
    private static final RouterHandle.Secrets SECRETS =
            new RouterHandle.Secrets("it-platform-token", "it-operator-token", "it-shared-secret-0123456789");

    private final FleetPlan plan;
    private final Processes processes = new Processes();
    private final Http http = new Http();
    private final String platformAddress = FreePorts.freeAddress();
    private final String platformControl = FreePorts.freeAddress();
    private final String proxyControl = FreePorts.freeAddress();
    private final List<Backend> backends;
    private final List<RouterHandle> routers = new ArrayList<>();
    private final Operator operator;

    private Fleet(FleetPlan plan) {
        this.plan = plan;
        ManagedProcess platform = processes.start(
                "platform",
                "io.hornbeamfield.standins.platform.Main",
                List.of(
                        "--address", platformAddress,
                        "--control-address", platformControl,
                        "--token", SECRETS.platformToken()));
        ManagedProcess proxy = processes.start(
                "fault-proxy", "io.hornbeamfield.standins.faultproxy.Main", List.of("--address", proxyControl));
        backends = Backends.start(plan, processes);
        Processes.awaitAddresses(platform);
        Processes.awaitAddresses(proxy);
        operator = new Operator(platformAddress, SECRETS.platformToken(), SECRETS.operatorToken());
    }

    /** Starts all processes, applies the configuration and waits until every router serves. */
    public static Fleet start(FleetPlan plan) {
        Fleet fleet = new Fleet(plan);
        try {
            fleet.startRouters();
            fleet.configure();
            fleet.awaitReady();
            return fleet;
        } catch (RuntimeException | AssertionError e) {
            fleet.close();
            throw e;
        }
    }

    private void startRouters() {
        for (int i = 0; i < plan.routers(); i++) {
            String id = "router-" + (i + 1);
            String link = makeLink(RouterHandle.platformLink(id), platformAddress, plan.zoneLatencyMs());
            RouterHandle router =
                    new RouterHandle(id, plan.zoneOf(i), link, SECRETS, plan.keyLifetimeSeconds(), processes);
            routers.add(router);
            listInstance(router.id(), "router", router.callerAddress(), router.zone(), "live");
        }
    }

    private void configure() {
        ObjectNode configuration = plan.configuration().deepCopy();
        for (Backend b : backends) {
            Processes.awaitAddresses(b.process());
            String link = makeLink(b.link(), b.address(), plan.zoneLatencyMs());
            Backends.setAddress(configuration, b, link);
            listInstance(b.id(), b.model() ? "engine" : "service", link, b.zone(), "live");
        }
        operator.run("apply", "-f", write("configuration.json", configuration).toString())
                .orFail();
    }

    /** Writes a file into the fleet's temporary directory. */
    public Path write(String name, JsonNode content) {
        try {
            return Files.write(processes.directory().resolve(name), Json.bytes(content));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void awaitReady() {
        routers.forEach(r -> Waits.until(r.id() + " serves", READY_LIMIT, () -> serves(r)));
    }

    /** Returns whether a router names all live routers to callers, or at least itself and one more. */
    public boolean serves(RouterHandle router) {
        if (!router.process().isAlive()) {
            throw new IllegalStateException(
                    router.id() + " ended: " + router.process().errors());
        }
        String key = plan.callerKeys().values().iterator().next();
        return http.tryGet(HttpCall.get("http://" + router.callerAddress() + "/v1/addresses?zone=" + router.zone())
                        .bearer(key))
                .map(a -> a.path("routers").size() >= Math.min(2, plan.routers()))
                .orElse(false);
    }

    private String makeLink(String name, String target, double latencyMs) {
        String listen = FreePorts.freeAddress();
        ObjectNode body = (ObjectNode) Json.tree(Map.of("listen", listen, "target", target));
        body.put("toTargetMs", latencyMs).put("toCallerMs", latencyMs);
        link(name, body.toString());
        return listen;
    }

    /** Changes the behaviour of a link: {@code {"cut":true}}, {@code {"silence":true}}, {@code {"reset":true}}. */
    public void link(String name, String json) {
        http.send(HttpCall.put("http://" + proxyControl + "/links/" + name).json(json));
    }

    /** Changes the faults of the platform. */
    public void platformFaults(String json) {
        http.send(HttpCall.post("http://" + platformControl + "/control/faults").json(json));
    }

    /** Returns the call counts of the platform. */
    public JsonNode platformStats() {
        return http.get(platformControl, "/control/stats");
    }

    /** Adds or replaces an entry of the instance list, right or wrong. */
    public void listInstance(String id, String kind, String address, String zone, String state) {
        Map<String, String> entry = Map.of("kind", kind, "address", address, "zone", zone, "state", state);
        http.send(HttpCall.put("http://" + platformControl + "/control/instances/" + id)
                .json(Json.bytes(entry)));
    }

    /** Removes an entry from the instance list. */
    public void unlistInstance(String id) {
        http.send(HttpCall.delete("http://" + platformControl + "/control/instances/" + id));
    }

    /** Changes the faults of a backend server. */
    public void backendFaults(Backend backend, String json) {
        http.send(
                HttpCall.post("http://" + backend.address() + "/control/faults").json(json));
    }

    /** Returns what a backend server recorded. */
    public JsonNode records(Backend backend) {
        return http.get(backend.address(), "/control/records");
    }

    /** Returns the state dump of a router, if it answers. */
    public Optional<JsonNode> state(RouterHandle router) {
        return http.tryGet(
                HttpCall.get("http://" + router.adminAddress() + "/state").bearer(SECRETS.operatorToken()));
    }

    /** Returns the configuration revision that a router has adopted, -1 if it does not answer. */
    public long revision(RouterHandle router) {
        return state(router)
                .map(s -> s.path("control").path("configRevision").asLong(-1))
                .orElse(-1L);
    }

    /** Returns the running router with the most open requests. */
    public RouterHandle busiest() {
        return routers.stream()
                .filter(r -> r.process().isAlive())
                .max(Comparator.comparingLong(this::open))
                .orElseThrow();
    }

    private long open(RouterHandle router) {
        return http.tryGet(HttpCall.get("http://" + router.adminAddress() + "/health")
                        .bearer(SECRETS.operatorToken()))
                .map(h -> h.path("open").asLong())
                .orElse(-1L);
    }

    /** Starts a router again as a new incarnation. */
    public void restart(RouterHandle router) {
        router.restart(processes);
        Waits.until(router.id() + " serves again", READY_LIMIT, () -> serves(router));
    }

    /** Returns a client of the platform that no link disturbs. */
    public PlatformClient platform() {
        return new HttpPlatformClient(http.client(), platformAddress, SECRETS.platformToken());
    }

    /** Returns the operator's tool. */
    public Operator operator() {
        return operator;
    }

    /** Returns the plan. */
    public FleetPlan plan() {
        return plan;
    }

    /** Returns a router by its index. */
    public RouterHandle router(int index) {
        return routers.get(index);
    }

    /** Returns all routers. */
    public List<RouterHandle> routers() {
        return List.copyOf(routers);
    }

    /** Returns the model engines. */
    public List<Backend> engines() {
        return backends.stream().filter(Backend::model).toList();
    }

    /** Returns the plain services. */
    public List<Backend> services() {
        return backends.stream().filter(b -> !b.model()).toList();
    }

    @Override
    public void close() {
        http.close();
        processes.close();
    }
}
