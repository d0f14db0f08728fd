package io.hornbeamfield.load;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Map;

/** The routers that a run sends to, and the caller keys by workspace. Only loopback addresses are accepted. */
public record LoadTargets(List<String> seedAddresses, Map<String, String> keys, String zone) {
    public LoadTargets {
        seedAddresses = List.copyOf(seedAddresses);
        keys = Map.copyOf(keys);
        seedAddresses.forEach(LoadTargets::checkLoopback);
    }

    private static void checkLoopback(String address) {
        String host = address.substring(0, Math.max(0, address.lastIndexOf(':')));
        try {
            if (!host.isEmpty() && InetAddress.getByName(host).isLoopbackAddress()) {
                return;
            }
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("Address \"" + address + "\" is unknown.", e);
        }
        throw new IllegalArgumentException(
                "Address \"" + address + "\" is not a loopback address. The load tool sends to this machine only.");
    }
}
