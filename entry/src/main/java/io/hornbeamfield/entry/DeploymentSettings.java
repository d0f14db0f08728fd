package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.hornbeamfield.core.placement.ColdRateLimit;
import io.hornbeamfield.platform.DeploymentTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Properties of the deployment and of this instance's machine that switch optional behaviour on. An absent property
 * leaves the behaviour off.
 *
 * @param region region of this instance, empty if unknown
 * @param regionsByZone region of each availability zone
 * @param terms parts of the service terms that are in force
 * @param coldRate bound on the requests to a server that has just started
 * @param evacuationAdoptionMs time within which the evacuation of an availability zone must take effect
 * @param processorShare share of a processor core that this instance may use
 * @param processorCores speed of that core as a multiple of a standard core
 * @param memoryMb memory that this instance may use
 * @param linkMbps bandwidth of this instance's link
 */
public record DeploymentSettings(
        String region,
        Map<String, String> regionsByZone,
        DeploymentTerms terms,
        Optional<ColdRateLimit> coldRate,
        OptionalLong evacuationAdoptionMs,
        double processorShare,
        double processorCores,
        long memoryMb,
        double linkMbps) {

    private static final double MAX_FACTOR = 1_000;
    private static final double MAX_SLACK = 1e6;
    private static final long MAX_ADOPTION_MS = 600_000;
    private static final double MAX_CAPACITY = 1e9;

    public DeploymentSettings {
        regionsByZone = Map.copyOf(regionsByZone);
    }

    /** Returns settings that leave all optional behaviour off. */
    public static DeploymentSettings none() {
        return parse(MissingNode.getInstance());
    }

    /** Returns the processing capacity of this instance in standard cores, 0 if unknown. */
    public double processingCapacity() {
        return processorShare * processorCores;
    }

    /** Parses the optional object {@code deployment} of a settings file. */
    static DeploymentSettings parse(JsonNode node) {
        Map<String, String> regions = new HashMap<>();
        node.path("regionsByZone")
                .fields()
                .forEachRemaining(e -> regions.put(e.getKey(), e.getValue().asText()));
        List<String> terms = new ArrayList<>();
        node.path("terms").forEach(t -> terms.add(t.asText()));
        Optional<ColdRateLimit> coldRate = node.has("coldRateFactor")
                ? Optional.of(new ColdRateLimit(
                        number(node, "coldRateFactor", MAX_FACTOR), number(node, "coldRateSlack", MAX_SLACK)))
                : Optional.empty();
        OptionalLong evacuation = node.has("evacuationAdoptionMs")
                ? OptionalLong.of((long) number(node, "evacuationAdoptionMs", MAX_ADOPTION_MS))
                : OptionalLong.empty();
        return new DeploymentSettings(
                node.path("region").asText(""),
                regions,
                DeploymentTerms.of(terms),
                coldRate,
                evacuation,
                number(node, "processorShare", MAX_CAPACITY),
                number(node, "processorCores", MAX_CAPACITY),
                (long) number(node, "memoryMb", MAX_CAPACITY),
                number(node, "linkMbps", MAX_CAPACITY));
    }

    /** Returns a number from 0 to a maximum, or 0 if the field is absent. */
    private static double number(JsonNode node, String name, double max) {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber() || value.asDouble() < 0 || value.asDouble() > max) {
            throw new IllegalArgumentException("Field \"deployment." + name + "\" is " + value
                    + ". Write a number from 0 to " + max + ", or leave the field out.");
        }
        return value.asDouble();
    }
}
