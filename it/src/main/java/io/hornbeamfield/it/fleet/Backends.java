package io.hornbeamfield.it.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.standins.FreePorts;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Starts the backend servers that a configuration names and puts their addresses into it. */
final class Backends {
    private static final String ENGINE = "io.hornbeamfield.standins.engine.Main";
    private static final String SERVICE = "io.hornbeamfield.standins.service.Main";

    private Backends() {}

    static List<Backend> start(FleetPlan plan, Processes processes) {
        List<Backend> list = new ArrayList<>();
        plan.configuration()
                .path("pools")
                .properties()
                .forEach(pool -> pool.getValue()
                        .path("servers")
                        .properties()
                        .forEach(server -> list.add(start(plan, pool, server, processes))));
        return list;
    }

    private static Backend start(
            FleetPlan plan, Map.Entry<String, JsonNode> pool, Map.Entry<String, JsonNode> server, Processes processes) {
        boolean model = pool.getValue().path("kind").asText().equals("model");
        String address = FreePorts.freeAddress();
        List<String> args = new ArrayList<>(List.of("--address", address));
        if (model) {
            List<String> models = new ArrayList<>();
            pool.getValue().path("models").forEach(m -> models.add(m.asText()));
            args.addAll(List.of("--models", String.join(",", models)));
            args.addAll(List.of(
                    "--checks-fencing", pool.getValue().path("checksFencing").asText()));
            plan.engineOptions().forEach((name, value) -> args.addAll(List.of("--" + name, value)));
        }
        ManagedProcess process = processes.start(server.getKey(), model ? ENGINE : SERVICE, args);
        String zone = server.getValue().path("zone").asText();
        return new Backend(server.getKey(), pool.getKey(), zone, model, address, process);
    }

    static void setAddress(ObjectNode configuration, Backend backend, String address) {
        JsonNode server =
                configuration.path("pools").path(backend.pool()).path("servers").path(backend.id());
        ((ObjectNode) server).put("address", address);
    }
}
