package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What a fleet consists of: a configuration document as hornbeamctl applies it, whose backend servers are started with
 * it, the caller keys, the zones of the routers, one-way latencies and options of the stand-ins.
 *
 * <pre>{@code
 * FleetPlan plan = FleetPlan.ofDeployment(home, Deployment.QUABBIN).withRouters(7);
 * }</pre>
 */
public record FleetPlan(
        JsonNode configuration,
        Map<String, String> callerKeys,
        List<String> zones,
        int routers,
        double zoneLatencyMs,
        double clientLatencyMs,
        Map<String, String> engineOptions,
        long keyLifetimeSeconds) {

    public FleetPlan {
        callerKeys = Map.copyOf(callerKeys);
        zones = List.copyOf(zones);
        engineOptions = Map.copyOf(engineOptions);
    }

    /** Returns a plan with the files of a deployment below {@code deploy/}. */
    public static FleetPlan ofDeployment(Path home, Deployment deployment) {
        Path directory = home.resolve("deploy").resolve(deployment.directory());
        Map<String, String> keys = new TreeMap<>();
        read(directory.resolve("demo-keys.json"))
                .properties()
                .forEach(k -> keys.put(k.getKey(), k.getValue().asText()));
        return new FleetPlan(
                read(directory.resolve("configuration.json")),
                keys,
                deployment.zones(),
                7,
                deployment.zoneLatencyMs(),
                deployment.clientLatencyMs(),
                Map.of(),
                600);
    }

    private static JsonNode read(Path file) {
        try {
            return Json.parse(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot read " + file + ".", e);
        }
    }

    /** Returns this plan with another number of routers. */
    public FleetPlan withRouters(int count) {
        return new FleetPlan(
                configuration,
                callerKeys,
                zones,
                count,
                zoneLatencyMs,
                clientLatencyMs,
                engineOptions,
                keyLifetimeSeconds);
    }

    /** Returns this plan with options of the engines, by the names of their settings. */
    public FleetPlan withEngineOptions(Map<String, String> options) {
        return new FleetPlan(
                configuration, callerKeys, zones, routers, zoneLatencyMs, clientLatencyMs, options, keyLifetimeSeconds);
    }

    /** Returns this plan with a change of its configuration document. */
    public FleetPlan withConfiguration(Consumer<ObjectNode> change) {
        ObjectNode copy = configuration.deepCopy();
        change.accept(copy);
        return new FleetPlan(
                copy, callerKeys, zones, routers, zoneLatencyMs, clientLatencyMs, engineOptions, keyLifetimeSeconds);
    }

    /** Returns the pools of the given kind. */
    public List<String> pools(String kind) {
        List<String> names = new ArrayList<>();
        configuration.path("pools").properties().forEach(p -> {
            if (p.getValue().path("kind").asText().equals(kind)) {
                names.add(p.getKey());
            }
        });
        return names;
    }

    /** Returns the zone of a router. */
    public String zoneOf(int router) {
        return zones.get(router % zones.size());
    }
}
