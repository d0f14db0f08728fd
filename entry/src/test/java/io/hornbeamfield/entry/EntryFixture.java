package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import io.hornbeamfield.standins.FreePorts;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Fixture that runs a fake store, fake backend servers and entry daemons in one process. */
final class EntryFixture implements AutoCloseable {
    static final String KEY = "Authorization: Bearer key-1";
    static final String ID = "X-Attempt-Id: a1";
    static final String DEADLINE = "X-Deadline-Ms: 10000";

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(15);

    final FakeStore store = new FakeStore();
    final List<FakeBackendServer> runners = new ArrayList<>();
    final List<EntryProcess> entries = new ArrayList<>();
    private final List<EntrySettings> settings = new ArrayList<>();
    private long prepaid = 1_000_000;
    private int maxConnections = 100;
    private long objectiveMs = 400;
    private double retrySlack = 50;
    private long graceMs = 5_000;
    private DeploymentSettings deployment = DeploymentSettings.none();

    FakeBackendServer runner(String id, String service) {
        return runner(id, service, "north");
    }

    FakeBackendServer runner(String id, String service, String zone) {
        FakeBackendServer r = new FakeBackendServer(id, service);
        r.zone(zone);
        r.register(store, false);
        runners.add(r);
        return r;
    }

    /** Starts a server whose registration names the version of its software. */
    FakeBackendServer versionedRunner(String id, String service, String version) {
        FakeBackendServer r = new FakeBackendServer(id, service);
        r.version(version);
        r.register(store, false);
        runners.add(r);
        return r;
    }

    /** Registers a server at an address of the test's own. */
    static void register(FakeStore store, String id, String service, String address) {
        ObjectNode entry = Json.mapper().createObjectNode();
        entry.put("service", service).put("address", address).put("zone", "north");
        entry.put("slots", 6).put("state", "ready").put("born", 1L);
        store.put("servers", id, entry);
    }

    void prepaid(long tokens) {
        prepaid = tokens;
    }

    /** Sets the objective of all routes, from which the daemon derives how long it waits for a server. */
    void objectiveMs(long ms) {
        objectiveMs = ms;
    }

    /** Sets the number of retries that the daemons may make in addition to a share of the requests. */
    void retrySlack(double retries) {
        retrySlack = retries;
    }

    /** Sets the properties of the deployment of the daemons that are started afterwards. */
    void deployment(DeploymentSettings next) {
        deployment = next;
    }

    /** Sets the number of connections that a server of the plain service accepts. */
    void maxConnections(int connections) {
        maxConnections = connections;
    }

    /** Sets the grace period of the daemons that are started afterwards. */
    void graceMs(long ms) {
        graceMs = ms;
    }

    /** Sets the properties of the deployment, as JSON, for the daemons that are started afterwards. */
    void deployment(String json) {
        deployment = DeploymentSettings.parse(Json.parse(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes a configuration with one route of each kind, except for the removed routes. */
    void configure(long version, String... removedRoutes) {
        store.put("config", "main", config(version, removedRoutes));
    }

    /** Returns what {@link #configure} writes. */
    ObjectNode config(long version, String... removedRoutes) {
        ObjectNode config = Json.mapper().createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        route(routes, "read", "idempotent", "plain", 2, false);
        route(routes, "write", "non_idempotent", "plain", 1, false);
        route(routes, "chat", "streaming", "model", 2, true);
        route(routes, "report", "streaming", "model", 1, false);
        for (int i = routes.size() - 1; i >= 0; i--) {
            if (List.of(removedRoutes).contains(routes.get(i).path("name").asText())) {
                routes.remove(i);
            }
        }
        ArrayNode services = config.putArray("services");
        services.addObject().put("name", "plain").put("health-path", "/healthz").put("max-conns", maxConnections);
        services.addObject()
                .put("name", "model")
                .put("health-path", "/healthz")
                .put("max-conns", 100)
                .putObject("engine")
                .put("slots", 64)
                .put("kv-capacity", 100_000)
                .put("stride", 1);
        config.putObject("limits")
                .put("max-header-bytes", 16_384)
                .put("max-body-bytes", 1_000_000)
                .put("header-timeout-ms", 3_000)
                .put("idle-timeout-ms", 15_000);
        ObjectNode workspace = config.putArray("tenants").addObject();
        workspace
                .put("name", "plots")
                .put("prepay", prepaid)
                .putArray("api-keys")
                .add("key-1");
        return config;
    }

    /** Returns a configuration with a further workspace whose key is {@code key-2}. */
    ObjectNode configOfTwoWorkspaces(long version) {
        ObjectNode config = config(version);
        config.withArray("tenants")
                .addObject()
                .put("name", "gardens")
                .put("prepay", prepaid)
                .putArray("api-keys")
                .add("key-2");
        return config;
    }

    void route(ArrayNode routes, String name, String kind, String service, int attempts, boolean resumable) {
        routes.addObject()
                .put("name", name)
                .put("host", "api.example")
                .put("path-prefix", "/" + name + "/")
                .put("route-kind", kind)
                .put("timeout-ms", 8_000)
                .put("latency-target-ms", objectiveMs)
                .put("service", service)
                .put("max-attempts", attempts)
                .put("resumable", resumable);
    }

    /** Starts a daemon without waiting until it is ready. */
    EntryProcess start() {
        return start(EventLog.none());
    }

    /** Starts a daemon that has the given log, without waiting until it is ready. */
    EntryProcess start(EventLog log) {
        EntrySettings s = newSettings(store.address());
        EntryProcess entry = EntryProcess.start(Path.of("no-settings-file"), s, log);
        settings.add(s);
        entries.add(entry);
        return entry;
    }

    /** Returns the settings of a further daemon that has the given store. */
    EntrySettings newSettings(String storeAddress) {
        return newSettings("entry-" + entries.size(), storeAddress);
    }

    /** Returns the settings of a daemon that has the given name and store. */
    EntrySettings newSettings(String instance, String storeAddress) {
        return new EntrySettings(
                instance,
                "north",
                FreePorts.freeAddress(),
                FreePorts.freeAddress(),
                FreePorts.freeAddress(),
                FreePorts.freeAddress(),
                "secret",
                0,
                storeAddress,
                3_000,
                2_000,
                graceMs,
                0.2,
                retrySlack,
                10_000,
                5,
                deployment);
    }

    EntryProcess startReady() {
        EntryProcess entry = start();
        await(() -> entry.blackboard().ready());
        return entry;
    }

    String address(int entry) {
        return settings.get(entry).callerAddress();
    }

    String readiness(int entry) {
        return settings.get(entry).readinessAddress();
    }

    String directory(int entry) {
        return settings.get(entry).directoryAddress();
    }

    Caller call(String method, String path, String... more) {
        List<String> headers = new ArrayList<>(List.of(KEY, ID, DEADLINE));
        headers.addAll(List.of(more));
        return Caller.send(address(0), method, path, headers.toArray(String[]::new));
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The condition did not become true within " + AWAIT_TIMEOUT + ".");
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        runners.forEach(FakeBackendServer::close);
        store.close();
    }
}
