package io.hornbeamfield.it.fleet;

import java.util.List;
import java.util.Locale;

/** The deployments of section 1.5 of the design page, with their zones and one-way latencies. */
public enum Deployment {
    /** Quabbin Commons. */
    QUABBIN(List.of("pioneer-valley", "merrimack", "narragansett"), 1, 3),
    /** Lampka Software. */
    LAMPKA(List.of("pl-central-a", "pl-central-b", "pl-central-c", "pl-central-d"), 1.5, 1);

    private final List<String> zones;
    private final double zoneLatencyMs;
    private final double clientLatencyMs;

    Deployment(List<String> zones, double zoneLatencyMs, double clientLatencyMs) {
        this.zones = zones;
        this.zoneLatencyMs = zoneLatencyMs;
        this.clientLatencyMs = clientLatencyMs;
    }

    /** Returns the deployment with this directory below {@code deploy/}. */
    public static Deployment named(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Returns the name of the directory below {@code deploy/}. */
    public String directory() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the availability zones. */
    public List<String> zones() {
        return zones;
    }

    /** Returns the one-way latency between zones. */
    public double zoneLatencyMs() {
        return zoneLatencyMs;
    }

    /** Returns the one-way latency to callers. */
    public double clientLatencyMs() {
        return clientLatencyMs;
    }
}
