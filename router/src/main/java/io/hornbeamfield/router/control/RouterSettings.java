package io.hornbeamfield.router.control;

import java.util.List;

/**
 * Settings of a router process. Addresses have the form {@code ip:port}. The listed peers are seeds that are dialled at
 * start; further peers are discovered through the platform.
 *
 * <pre>{@code
 * Result<RouterSettings> settings = SettingsLoader.load(file, RouterSettings.class);
 * }</pre>
 */
public record RouterSettings(
        String instanceId,
        String zone,
        String callerAddress,
        String adminAddress,
        String peerAddress,
        List<String> peers,
        String platformAddress,
        String platformToken,
        String operatorToken,
        String sharedSecret,
        long keyLifetimeSeconds,
        long billingFlushMs,
        int registryEntries) {

    public RouterSettings {
        peers = List.copyOf(peers);
    }
}
